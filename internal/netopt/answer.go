package netopt

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

var (
	// errStatus means that the status of an answer is not one of RFC 9110, section 15.
	errStatus = errors.New("invalid status of answer")
	// errFieldName means that the name of a field is not a token of RFC 9110, section 5.6.2.
	errFieldName = errors.New("invalid field name in the head of answer")
)

// maxStatus is the highest valid status.
const maxStatus = 599

// CheckHead returns an error for the head of an answer that net/http accepts although it is invalid. An upgrade,
// which nothing here asks for, is invalid too.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %.40q", errStatus, response.Status)
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %.40q", errFieldName, name)
		}
	}
	return nil
}

// Framed reports whether the body of an answer has a length or is chunked. One that is not framed ends with its
// connection.
func Framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
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
