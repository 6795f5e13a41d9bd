package conns

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// NewTransport returns an http.RoundTripper that uses t with connections of its own. It returns
// the same errors as a Pool for answers that are none: a *CutError for one without a length
// that may have been reset while its request was being written, and an *InvalidStatusError.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := dialer(&net.Dialer{})
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	return &transport{t}
}

type transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp.StatusCode); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// An InvalidStatusError reports an answer whose status is not one of HTTP's final ones, 200 to
// 599 (RFC 9110, section 15). Nothing that such an answer says is known to be true.
type InvalidStatusError struct {
	Status int
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the answer's status %03d is none of HTTP", e.Status)
}

// checkStatus returns an error if status cannot be that of a final answer.
func checkStatus(status int) error {
	if status < http.StatusOK || status > 599 {
		return &InvalidStatusError{status}
	}
	return nil
}
