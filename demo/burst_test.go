package demo_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// burstReviews is the number of concurrent reviews.
	burstReviews = 400
	// burstStatusReads is the number of concurrent status reads of a small workspace.
	burstStatusReads = 50
)

// burstAnswer is the answer to one caller of the burst.
type burstAnswer struct {
	status       int
	ran, code    string
	retryAfter   string
	took         time.Duration
	isStatusRead bool
}

func TestWakeUpBurstIsRefusedHonestlyAndLeavesStatusReadsAlone(t *testing.T) {
	cluster := start(t)
	announced := cluster.Announce()
	answers := make([]burstAnswer, burstReviews+burstStatusReads)
	var group sync.WaitGroup
	for i := range answers {
		base := announced.Callers[i%len(announced.Callers)]
		group.Go(func() {
			started := time.Now()
			var response *http.Response
			statusRead := i%9 == 0 && i/9 < burstStatusReads
			if statusRead {
				response = call(t, "GET", base+"/services/rakes/screens/7", announced.APIKeys["plant-ibri"], "")
			} else {
				content := strings.Repeat(fmt.Sprintf("log %d ", i), 2000)
				body := fmt.Sprintf(`{"model":"review","messages":[{"role":"user","content":%q}]}`, content)
				response = call(t, "POST", base+"/v1/chat/completions", announced.APIKeys[workspace], body)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			answers[i] = burstAnswer{
				status: response.StatusCode, ran: response.Header.Get(refusal.HeaderRan), code: response.Header.Get(refusal.HeaderCode),
				retryAfter: response.Header.Get("Retry-After"), took: time.Since(started), isStatusRead: statusRead,
			}
		})
	}
	group.Wait()
	var statusReads []time.Duration
	refused := map[string]int{}
	for _, answer := range answers {
		if answer.isStatusRead {
			require.Equal(t, http.StatusOK, answer.status, "a status read is answered during the burst")
			statusReads = append(statusReads, answer.took)
			continue
		}
		if answer.status == http.StatusOK {
			continue
		}
		refused[answer.code]++
		require.Equal(t, "no", answer.ran)
		require.NotEmpty(t, answer.retryAfter, "a refusal has a Retry-After header")
	}
	require.Contains(t, refused, string(refusal.CodeDeadline), "requests that can't meet their target are refused")
	slices.Sort(statusReads)
	t.Logf("refused %v; status read p95 %v", refused, statusReads[len(statusReads)*95/100])
}
