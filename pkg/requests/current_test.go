package requests_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/memsite"
)

// leaveHalf lists half of the upstreams as leaving and returns their IDs.
func (f *fixture) leaveHalf() map[string]bool {
	left := map[string]bool{}
	f.VMs.Update(func(vms []backend.VM) []backend.VM {
		for i := range vms {
			if vms[i].Kind == backend.KindUpstream && i%2 == 0 {
				vms[i].Leaving, left[vms[i].ID] = true, true
			}
		}
		return vms
	})
	return left
}

// TestReconnectedNodeRechecksUpstream makes upstreams leave while an entry VM is
// isolated from the VM list and from the other nodes. Requests that reach it shortly
// before it reads the list again wait, and must not be sent to an upstream that was
// chosen by the old list and has left.
func TestReconnectedNodeRechecksUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, 1, 20*time.Millisecond)
		cut := func(fault memnet.Fault) {
			f.CutPlatform(0, memsite.PlatformCut{VMList: fault != memnet.Healthy})
			f.Net.SetBothLinks("entry-0", "entry-1", fault)
			f.Net.SetBothLinks("entry-0", "entry-2", fault)
		}
		cut(memnet.Cut)
		left := f.leaveHalf()
		time.Sleep(2 * leaveWithin)
		began := time.Now()
		time.AfterFunc(time.Second, func() { cut(memnet.Healthy) })
		quote := api.Request{Account: "coopers", Service: "stave-desk", Class: "quote", Body: []byte("quote")}
		for _, failed := range f.loadAt(0, 40, time.Second, quote) {
			if failed.err.Verdict != api.NotRun {
				t.Errorf("sent after %s: %v", failed.sent, failed.err)
			}
		}
		ran := 0
		for id, u := range f.Upstreams {
			for _, e := range u.Executions() {
				if e.At.Before(began) {
					continue
				}
				if ran++; left[id] {
					t.Errorf("a request started on %s, which left %s before", id, e.At.Sub(began)+2*leaveWithin)
				}
			}
		}
		if len(left) == 0 || ran == 0 {
			t.Errorf("%d upstreams left, %d requests ran", len(left), ran)
		}
	})
}

// TestUnlistedNodeMayHaveNewerVMList replaces an entry VM just before the other two lose the
// VM list: their copy names the old VM, whose address refuses connections. The new VM can
// still read the list. They must not rely on their copy, although all VMs that it names have
// confirmed that they have no newer one or do not run.
func TestUnlistedNodeMayHaveNewerVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, 1, 20*time.Millisecond)
		f.LoseEntry(2)
		if err := f.Replace(t.Context(), 2, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for i := range 2 {
			f.CutPlatform(i, memsite.PlatformCut{VMList: true})
			f.Net.SetBothLinks(f.Entries[i].Settings.ID, f.Entries[2].Settings.ID, memnet.Cut)
		}
		left := f.leaveHalf()
		time.Sleep(2 * leaveWithin)
		began := time.Now()
		quote := api.Request{Account: "coopers", Service: "stave-desk", Class: "quote", Body: []byte("quote"), Timeout: time.Second}
		for i := range 2 {
			for _, failed := range f.loadAt(i, 40, time.Second, quote) {
				if failed.err.Verdict != api.NotRun {
					t.Errorf("sent after %s: %v", failed.sent, failed.err)
				}
			}
		}
		for id, u := range f.Upstreams {
			for _, e := range u.Executions() {
				if left[id] && e.At.After(began) {
					t.Errorf("a request started on %s, which had left", id)
				}
			}
		}
	})
}
