package httphead

import "net/http"

// Do sends a request as hc does, and refuses a response that Check refuses.
func Do(hc *http.Client, req *http.Request) (*http.Response, error) {
	rsp, err := hc.Do(req)
	if err != nil {
		return nil, err
	}
	if err := Check(rsp); err != nil {
		rsp.Body.Close()
		return nil, err
	}
	return rsp, nil
}
