package netopt

import (
	"errors"
	"fmt"
	"net/http"
)

// errStatus means that the status of an answer is not one of RFC 9110, section 15.
var errStatus = errors.New("invalid status of answer")

// maxStatus is the highest valid status.
const maxStatus = 599

// CheckHead returns an error for the head of an answer that net/http accepts although it is invalid. An upgrade,
// which nothing here asks for, is invalid too.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %.40q", errStatus, response.Status)
	}
	return nil
}

// checkedTransport returns no answer whose head is invalid.
type checkedTransport struct{ *http.Transport }

// Checked returns a transport that fails for an answer whose head is invalid.
func Checked(transport *http.Transport) http.RoundTripper { return checkedTransport{transport} }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
