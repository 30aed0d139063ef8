// Package kernel registers the services of a process, looks them up by name, and
// starts and stops them in dependency order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"runtime/pprof"

	"k8s.io/klog/v2"
)

// Service is a component of a process with a start and a stop.
type Service interface {
	// Name returns the name of the service, unique within a kernel.
	Name() string
	// DependsOn returns the names of the services that must start before this one.
	DependsOn() []string
	// Start begins the service's work and returns once it is usable. Work that
	// outlives Start ends when Stop is called.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service's work, gracefully as long as ctx lasts.
	Stop(ctx context.Context) error
}

// Kernel is a registry of services. It is not safe for concurrent use.
type Kernel struct {
	services map[string]Service
	order    []Service
	started  []Service
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{services: map[string]Service{}} }

// Register adds a service. It returns an error if the name is already registered.
func (k *Kernel) Register(s Service) error {
	if _, taken := k.services[s.Name()]; taken {
		return fmt.Errorf("kernel: service %q is registered twice", s.Name())
	}
	k.services[s.Name()] = s
	k.order = append(k.order, s)
	return nil
}

// Lookup returns the service called name. It returns an error if there is none or if
// it is not of type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	s, ok := k.services[name].(T)
	if !ok {
		return s, fmt.Errorf("kernel: no service %q of type %T", name, s)
	}
	return s, nil
}

// Start starts every service after those it depends on. If one fails, the
// services already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	sorted, err := k.sort()
	if err != nil {
		return err
	}
	for _, s := range sorted {
		if err := k.start(ctx, s); err != nil {
			return errors.Join(fmt.Errorf("kernel: start %s: %w", s.Name(), err), k.Stop(ctx))
		}
		k.started = append(k.started, s)
		klog.V(1).Infof("kernel: started %s", s.Name())
	}
	return nil
}

// start starts one service, with its name as a profiler label on its goroutines.
func (k *Kernel) start(ctx context.Context, s Service) (err error) {
	pprof.Do(ctx, pprof.Labels("service", s.Name()), func(ctx context.Context) { err = s.Start(ctx, k) })
	return err
}

// Stop stops the started services in reverse order. A failure does not prevent the
// others from being stopped.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("kernel: stop %s: %w", s.Name(), err))
		}
		klog.V(1).Infof("kernel: stopped %s", s.Name())
	}
	k.started = nil
	return errors.Join(errs...)
}

// sort returns the services in topological order; those that do not depend on each
// other keep the order of registration.
func (k *Kernel) sort() ([]Service, error) {
	const visiting, visited = 1, 2
	marks := map[string]int{}
	var sorted []Service
	var visit func(name string) error
	visit = func(name string) error {
		s, ok := k.services[name]
		if !ok {
			return fmt.Errorf("kernel: unknown service %q", name)
		}
		switch marks[name] {
		case visited:
			return nil
		case visiting:
			return fmt.Errorf("kernel: %q depends on itself", name)
		}
		marks[name] = visiting
		for _, d := range s.DependsOn() {
			if err := visit(d); err != nil {
				return err
			}
		}
		marks[name] = visited
		sorted = append(sorted, s)
		return nil
	}
	for _, s := range k.order {
		if err := visit(s.Name()); err != nil {
			return nil, err
		}
	}
	return sorted, nil
}
