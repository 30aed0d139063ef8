package ingress

import "net/http"

// Hold asks for what the answer to a request takes until the caller has read it, in bytes. It is
// freed with the rest of the request. The error is an *api.Error with the verdict not-run.
func (g *Gate) Hold(r *http.Request, bytes int64) error {
	c := connOf(r)
	if g == nil || c == nil {
		return nil
	}
	return g.grow(&c.holder, bytes)
}
