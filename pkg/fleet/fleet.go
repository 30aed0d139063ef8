// Package fleet polls the platform's list of VMs and offers the latest copy.
package fleet

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/platform"
)

// ServiceName is the name of the fleet service in the kernel.
const ServiceName = "fleet"

const (
	// pollInterval is the time between two reads of the VM list.
	pollInterval = time.Second
	// callTimeout bounds one read of the VM list.
	callTimeout = 2 * time.Second
)

// Service holds the latest copy of the VM list.
type Service struct {
	list   platform.VMList
	mu     sync.RWMutex
	vms    []platform.VM
	readAt time.Time
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a fleet service over list.
func New(list platform.VMList) *Service { return &Service{list: list} }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.poll(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// VMs returns the VMs of one kind as last listed. ok is false if the list has
// never been read.
func (s *Service) VMs(kind platform.VMKind) (vms []platform.VM, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, vm := range s.vms {
		if vm.Kind == kind {
			vms = append(vms, vm)
		}
	}
	return vms, !s.readAt.IsZero()
}

// Age returns how long ago the VM list was last read. ok is false if it has
// never been read.
func (s *Service) Age(now time.Time) (age time.Duration, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return now.Sub(s.readAt), !s.readAt.IsZero()
}

func (s *Service) poll(ctx context.Context) {
	for ctx.Err() == nil {
		s.readOnce(ctx)
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Service) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := s.list.List(ctx)
	if err != nil {
		klog.V(1).Infof("fleet: cannot read the VM list: %v", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms, s.readAt = vms, time.Now()
}
