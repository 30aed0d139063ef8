package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// HTTPVMList implements VMList over HTTP. It caches the last list and sends its
// entity tag, so that an unchanged list of thousands of VMs is not transferred again.
// It is safe for concurrent use.
type HTTPVMList struct {
	Base   string
	Client *http.Client

	mu   sync.Mutex
	etag string
	vms  []VM
}

// List implements VMList. Callers share the returned slice and must not modify it.
func (l *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.Base+"/vms", nil)
	if err != nil {
		return nil, err
	}
	etag, vms := l.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusNotModified && etag != "":
		return vms, nil
	case resp.StatusCode != http.StatusOK:
		return nil, api.Errorf(api.CodeUnavailable, "the VM list answered with status %s", resp.Status)
	}
	var listed []VM
	if err := json.Unmarshal(data, &listed); err != nil {
		return nil, err
	}
	l.setCached(resp.Header.Get("ETag"), listed)
	return listed, nil
}

func (l *HTTPVMList) cached() (etag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.vms
}

func (l *HTTPVMList) setCached(etag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.vms = etag, vms
}
