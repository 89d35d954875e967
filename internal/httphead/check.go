// Package httphead checks the heads of HTTP/1.1 responses for what net/http accepts although it is invalid.
package httphead

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidStatus means that a response has a status code below 100, which HTTP does not have.
var ErrInvalidStatus = errors.New("httphead: invalid status code")

// ErrInvalidName means that the name of a field of a response is no token.
var ErrInvalidName = errors.New("httphead: invalid name of a field")

// Check returns an error if the status code of a response or the name of one of its fields is invalid.
//
// net/http accepts names with blanks as they are. A field that others would take for the length or the coding
// of the body is then ignored, and the body is another one than the server has sent.
func Check(rsp *http.Response) error {
	if rsp.StatusCode < http.StatusContinue {
		return ErrInvalidStatus
	}
	for name := range rsp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %.40q", ErrInvalidName, name)
		}
	}
	return nil
}
