// Package cells binds guaranteed shapes to cells, which are sets of adjacent
// workers with reserved resources. It does no I/O and depends only on its
// arguments: package state calls it as it applies the log, so every node computes
// the same binding.
package cells

import (
	"slices"
	"strings"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// AccountAmount is the amount of resources of one client account on a worker.
type AccountAmount struct {
	Account   string        `json:"account"`
	Resources api.Resources `json:"resources"`
}

// ByAccount lists resources on a worker, such as those in use or reserved, by client
// account, sorted by account name. Its methods never modify the list in place.
type ByAccount []AccountAmount

// Of returns the resources of account.
func (a ByAccount) Of(account string) api.Resources {
	for i := range a {
		if a[i].Account == account {
			return a[i].Resources
		}
	}
	return api.Resources{}
}

// Add returns the list with r added to the resources of account.
func (a ByAccount) Add(account string, r api.Resources) ByAccount {
	i, found := slices.BinarySearchFunc(a, account, func(amount AccountAmount, name string) int { return strings.Compare(amount.Account, name) })
	out := slices.Clone(a)
	if !found {
		return slices.Insert(out, i, AccountAmount{account, r})
	}
	out[i].Resources = out[i].Resources.Add(r)
	if out[i].Resources == (api.Resources{}) {
		out = slices.Delete(out, i, i+1)
	}
	return out
}

// Sub returns the list with r subtracted from the resources of account.
func (a ByAccount) Sub(account string, r api.Resources) ByAccount {
	return a.Add(account, api.Resources{}.Sub(r))
}

// Excess returns by how much r exceeds limit, for each resource, or zero where it
// does not.
func Excess(r, limit api.Resources) api.Resources {
	return api.Resources{
		Cores:        max(0, r.Cores-limit.Cores),
		MemoryGB:     max(0, r.MemoryGB-limit.MemoryGB),
		Accelerators: max(0, r.Accelerators-limit.Accelerators),
	}
}

// Unreserved returns the capacity of a worker that lies outside every cell and is
// not held by non-preemptible attempts. reserved is what the cells on the worker
// reserve, and nonPreemptible is what attempts that must not be preempted hold;
// those of an account take from its own cells first. A negative result means that
// some cell cannot be reclaimed.
func Unreserved(capacity api.Resources, reserved, nonPreemptible ByAccount) api.Resources {
	for i := range reserved {
		capacity = capacity.Sub(reserved[i].Resources)
	}
	for i := range nonPreemptible {
		capacity = capacity.Sub(Excess(nonPreemptible[i].Resources, reserved.Of(nonPreemptible[i].Account)))
	}
	return capacity
}

// Reclaimable reports whether every cell on a worker can be reclaimed without
// stopping a non-preemptible attempt.
func Reclaimable(capacity api.Resources, reserved, nonPreemptible ByAccount) bool {
	return api.Resources{}.Fits(Unreserved(capacity, reserved, nonPreemptible))
}

// FreeForNonPreemptible returns how much more capacity of a worker non-preemptible
// attempts of account may take so that every cell stays reclaimable.
func FreeForNonPreemptible(capacity api.Resources, reserved, nonPreemptible ByAccount, account string) api.Resources {
	own := Excess(reserved.Of(account), nonPreemptible.Of(account))
	return Unreserved(capacity, reserved, nonPreemptible).Add(own)
}
