package occupancy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

const testLimit = 32 << 20

// site has as many accounts as the largest site.
var site = Bounds{Limit: testLimit, Accounts: 25}

// flood reserves jobs of the given size for an account until one is refused.
func flood(t *testing.T, table *Table, account string, bytes int64) {
	t.Helper()
	for i := range 1 << 20 {
		if !table.Reserve(Claim{Job: fmt.Sprint(account, i), Account: account, Bytes: bytes}, site, 0) {
			return
		}
	}
	t.Fatalf("account %s is never refused", account)
}

// Accounts that submit without end leave room for one that does not, and share the rest.
func TestFloodingAccountsLeaveRoom(t *testing.T) {
	for accounts := 1; accounts <= 24; accounts++ {
		table := NewTable()
		for i := range accounts {
			flood(t, table, fmt.Sprint("crowd-", i, "-"), 250<<10)
		}
		for i := range accounts {
			if held := table.Held(fmt.Sprint("crowd-", i, "-")); held < site.share()-250<<10 {
				t.Errorf("account %d of %d holds %d bytes, its share is %d", i, accounts, held, site.share())
			}
		}
		for i := range 20 {
			if c := (Claim{Job: fmt.Sprint("calm-", i), Account: "calm", Bytes: 4 << 10}); !table.Reserve(c, site, 0) {
				t.Fatalf("ordinary job %d beside %d flooding accounts is refused: %d bytes taken", i, accounts, table.Total())
			}
		}
		if table.Total() > testLimit {
			t.Errorf("%d accounts take %d bytes of %d", accounts, table.Total(), testLimit)
		}
	}
}

func TestLargestJobIsAdmittedInCalm(t *testing.T) {
	job := &workload.Job{Occurrences: 10_000, Steps: make([]workload.Step, 10)}
	for i := range job.Steps {
		job.Steps[i].Count = 1
	}
	table := NewTable()
	table.Add("calm", testLimit/calmShare)
	c := Claim{Job: "largest", Account: "other", Bytes: JobBytes(job, 1<<10)}
	if c.Bytes < testLimit {
		t.Fatalf("the job takes %d bytes only", c.Bytes)
	}
	if !table.Reserve(c, site, 0) {
		t.Error("a job larger than the limit is refused although hardly anything is held")
	}
	if table.Admits(Claim{Job: "next", Account: "third", Bytes: EntryBytes}, site) {
		t.Error("a job is admitted beyond the limit")
	}
}

func TestFirstJobOfAnAccountMayBeLarge(t *testing.T) {
	table := NewTable()
	table.Add("calm", testLimit/4)
	large := int64(testLimit/2 - 1)
	if !table.Reserve(Claim{Job: "first", Account: "other", Bytes: large}, site, 0) {
		t.Error("a first job of almost half of the limit is refused")
	}
	if table.Reserve(Claim{Job: "second", Account: "other", Bytes: large}, site, 0) {
		t.Error("a second such job is admitted")
	}
	if !table.Reserve(Claim{Job: "ordinary", Account: "third", Bytes: 4 << 10}, site, 0) {
		t.Error("an ordinary job of another account is refused beside them")
	}
}

func TestReservationsCountOnce(t *testing.T) {
	table := NewTable()
	c := Claim{Job: "a", Account: "x", Bytes: 1 << 20}
	for range 3 {
		// A submission that is repeated while the first is on its way is the same job.
		if !table.Reserve(c, site, 0) {
			t.Fatal("refused")
		}
	}
	if table.Total() != c.Bytes {
		t.Errorf("%d bytes are reserved, want %d", table.Total(), c.Bytes)
	}
	table.Add("x", c.Bytes)
	table.Settle("a", EntryBytes)
	if table.Total() != 2*c.Bytes {
		t.Error("a reservation ends although the ledger holds less for the job")
	}
	table.Settle("a", c.Bytes)
	if table.Total() != c.Bytes {
		t.Errorf("%d bytes are held once the ledger has the job, want %d", table.Total(), c.Bytes)
	}
	table.Reserve(Claim{Job: "b", Account: "x", Bytes: 1 << 20}, site, 0)
	table.Restart()
	if table.Total() != 1<<20 {
		t.Errorf("%d bytes are held when the ledger is read anew, want those on their way", table.Total())
	}
	table.Reserve(Claim{Job: "c", Account: "x", Bytes: EntryBytes}, site, reservationTimeout)
	if table.Total() != EntryBytes {
		t.Errorf("%d bytes are held after a reservation has expired", table.Total())
	}
}

// A refused caller is told to come back when jobs will have freed what it lacks.
func TestRetryAfterFollowsTheRateOfEnds(t *testing.T) {
	table := NewTable()
	c := Claim{Job: "next", Account: "x", Bytes: 2 << 20}
	table.Add("x", testLimit/4+site.share())
	if got := table.RetryAfter(c, site, time.Second); got != maxRetryAfter {
		t.Errorf("before anything has ended: %v", got)
	}
	table.Observe(0)
	for s := 1; s <= 20; s++ {
		table.Free("x", 1<<19)
		table.Add("x", 1<<19)
		table.Observe(time.Duration(s) * time.Second)
	}
	if got := table.RetryAfter(c, site, 20*time.Second); got != 4*time.Second {
		t.Errorf("2 MiB are lacking and 512 KiB end each second: %v", got)
	}
	if got := table.RetryAfter(Claim{Account: "x", Bytes: 1}, site, 20*time.Second); got != minRetryAfter {
		t.Errorf("almost nothing is lacking: %v", got)
	}
}

// Whatever is reserved, released and freed, the sums stay right and the limit is exceeded by one
// job at most.
func TestSumsStayRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		held := map[string]Claim{}
		var most int64
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "job"))
			account := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				c := Claim{Job: id, Account: account, Bytes: rapid.Int64Range(0, testLimit/3).Draw(t, "bytes")}
				if _, found := held[id]; !found && table.Reserve(c, site, now) {
					most = max(most, c.Bytes)
				}
			case 2:
				table.Release(id)
			case 3:
				if r, found := table.reserved[id]; found {
					table.Add(r.claim.Account, r.claim.Bytes)
					table.Release(id)
					held[id] = r.claim
				}
			case 4:
				if c, found := held[id]; found {
					table.Free(c.Account, c.Bytes)
					delete(held, id)
				}
				now += time.Second
			}
			sums, total := map[string]int64{}, int64(0)
			for _, c := range held {
				sums[c.Account], total = sums[c.Account]+c.Bytes, total+c.Bytes
			}
			for _, r := range table.reserved {
				sums[r.claim.Account], total = sums[r.claim.Account]+r.claim.Bytes, total+r.claim.Bytes
			}
			if total != table.Total() || total > testLimit+most {
				t.Fatalf("total %d, want %d, limit %d", table.Total(), total, testLimit)
			}
			for a, sum := range sums {
				if table.Held(a) != sum {
					t.Fatalf("account %s holds %d, want %d", a, table.Held(a), sum)
				}
			}
		}
	})
}
