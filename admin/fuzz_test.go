package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/refusal"
)

// FuzzPatchRequest checks that any body either is refused, with a message and as not
// run, or yields a patch with an id and valid JSON.
func FuzzPatchRequest(f *testing.F) {
	for _, body := range []string{
		`{"id":"a","base_version":1,"format":"merge","patch":{}}`, `{"id":"a","base_version":"1"}`, `{"id":"a","wait":true}`,
		`{"id":7}`, `{`, ``, `[]`, `{"id":"a","base_version":-1,"format":"merge","patch":{}}`, `{"id":"a","format":"yaml","patch":1}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		request, refused := readPatchRequest(bytes.NewReader(body))
		if refused == nil {
			refused = checkPatch(request)
		}
		if refused != nil {
			require.GreaterOrEqual(t, refused.Status, http.StatusBadRequest)
			require.Less(t, refused.Status, http.StatusInternalServerError)
			require.Equal(t, refusal.RanNo, refused.Ran)
			require.NotEmpty(t, refused.Message)
			return
		}
		require.NotEmpty(t, request.ID)
		require.True(t, json.Valid(request.Patch))
	})
}

func TestOperatorTyposAreNamed(t *testing.T) {
	for body, param := range map[string]string{
		`{"id":"a","bas_version":1,"format":"merge","patch":{}}`:    "bas_version",
		`{"id":"a","base_version":"1","format":"merge","patch":{}}`: "base_version",
	} {
		_, refused := readPatchRequest(bytes.NewReader([]byte(body)))
		require.NotNil(t, refused)
		require.Equal(t, param, refused.Param)
	}
}
