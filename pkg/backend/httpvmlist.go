package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// HTTPVMList is a VMList over HTTP. It sends the entity tag of the copy that it
// holds, so that an unchanged list of thousands of VMs is not sent again.
type HTTPVMList struct {
	Base   string
	Client *http.Client

	mu   sync.Mutex
	etag string
	vms  []VM
}

// List implements VMList. The caller must not change the VMs.
func (l *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.Base+"/vms", nil)
	if err != nil {
		return nil, err
	}
	etag, held := l.held()
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
		return held, nil
	case resp.StatusCode != http.StatusOK:
		return nil, api.Errorf(api.CodeUnavailable, "the VM list answered with status %s", resp.Status)
	}
	var vms []VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, err
	}
	l.hold(resp.Header.Get("ETag"), vms)
	return vms, nil
}

func (l *HTTPVMList) held() (etag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.vms
}

func (l *HTTPVMList) hold(etag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.vms = etag, vms
}
