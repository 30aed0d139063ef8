// Package placement decides which waiting tasks start on which workers, and which
// running tasks are preempted for them. The leader's dispatch engine calls it with a
// snapshot of workers and waiting units; the decision depends on nothing else.
package placement

import (
	"cmp"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Worker is the snapshot of a worker.
type Worker struct {
	ID     string
	Rack   string
	Labels []string
	// Free is the capacity that is neither used nor reserved; it may be negative.
	Free workload.Resources
	// Releasing is the capacity that stopping tasks will free.
	Releasing workload.Resources
	Capacity  workload.Resources
	// Schedulable workers accept new tasks.
	Schedulable bool
	// Doubtful workers have failed lately and not completed a task since. Gangs do not start there,
	// since one member that fails ends them all, unless they are guaranteed or would wait although
	// free capacity is ample.
	Doubtful bool
	// Penalty ranks workers: those with a higher penalty are used last.
	Penalty int
	// Speed is the worker's relative speed; 1 is usual.
	Speed float64
	// Class is the worker's speed class, 0 for the slowest. All have class 0 where speeds are alike.
	Class int
	// Running are the worker's tasks that are not being stopped already.
	Running []RunningTask
	// startsFor is the last unit of which the plan starts a task here.
	startsFor *Unit
	// startedKinds are the kinds of the tasks that the plan starts here.
	startedKinds []string
}

func (w *Worker) hasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// RunningTask is a task that runs on a worker and is not being stopped.
type RunningTask struct {
	Unit  workload.UnitID
	Need  workload.Resources
	Index int
	// Priority and Guaranteed decide which units may preempt the task. Tasks with a disruption
	// budget count as guaranteed, and so do gangs of which a new leader knows only a part.
	Priority   int
	Guaranteed bool
	// LostWork is the work lost by a stop, in core-seconds.
	LostWork float64
	// Gang members are stopped together.
	Gang bool
	// LongRunning tasks run until their job is cancelled.
	LongRunning bool
	// LatencySensitive tasks have a latency objective; BestEffort tasks use leftover
	// capacity. See workload.Step.
	LatencySensitive, BestEffort bool
	// Quota is that of the task's account, or nil if it has no limit.
	Quota *Quota
	// Ending tasks are expected to end by themselves within the time of a stop.
	Ending bool
	// Kind names tasks that behave alike; see package interference.
	Kind string
}

// Unit is a step of one round of a job with tasks to place.
type Unit struct {
	ID   workload.UnitID
	Step *workload.Step
	// Waiting are the indices of the tasks to place.
	Waiting  []int
	Priority int
	// Guaranteed units may preempt whatever is not guaranteed itself.
	Guaranteed bool
	// MustStart means that a guaranteed or long-running unit may not wait any longer for
	// capacity to come free by itself.
	MustStart bool
	// Quota is that of the unit's account, or nil if it has no limit.
	Quota *Quota
	// MayNotPreempt units wait for capacity to come free by itself.
	MayNotPreempt bool
	// MaxStopLoss is the largest cost of stops for the unit, in core-seconds of lost work; 0 means
	// the usual one.
	MaxStopLoss float64
	// DeadlineMS orders units of one priority; it is a Unix time.
	DeadlineMS int64
	// LongRunning units run until their job is cancelled, and come before all but
	// guaranteed ones.
	LongRunning bool
	// MayUseHeadroom units may use the capacity that is kept free for urgent ones.
	MayUseHeadroom bool
	// Expired units are so late that completing them has no value; they come last.
	Expired bool
	// PerWorker counts the tasks of the step that run on each worker.
	PerWorker map[string]int
	// RequiredRack is the rack that the tasks must use; empty means any.
	RequiredRack string
	// AnyRack units may be placed outside the rack with their data and may span racks.
	AnyRack bool
	// AllowedWorkers are the IDs of the workers that may be used; nil means all.
	AllowedWorkers map[string]bool
	// Avoid are the IDs of workers on which the unit's tasks failed; they are used last.
	Avoid map[string]bool
	// NeedsFast units cannot complete in time on slow workers and can on fast ones.
	NeedsFast bool
	// SearchDue units are searched for a preemption although others have used up the searches.
	SearchDue bool
	// StartsApart units start on workers where the plan starts nothing else.
	StartsApart bool
	// Kind names tasks that behave alike. Harm is by which fraction of their time tasks of the unit
	// and of another kind slow each other down on one worker; it lacks those that do not.
	Kind string
	Harm map[string]float64
}

// mayPreempt reports whether running tasks may be stopped for the unit.
func (u *Unit) mayPreempt() bool {
	if u.MayNotPreempt {
		return false
	}
	return u.Guaranteed || u.LongRunning || u.Priority == 0 && !u.Expired && u.RequiredRack == ""
}

// Assignment puts a task on a worker.
type Assignment struct {
	Task   workload.TaskID
	Worker string
	// Harm is by which fraction of their time the task and others there slow each other down.
	Harm float64
}

// Plan is a placement decision.
type Plan struct {
	// Start are the tasks to start at once.
	Start []Assignment
	// Reserve are assignments that have to wait until the tasks of Stop and those that
	// are ending have ended.
	Reserve []Assignment
	// Stop are the tasks to stop; a gang is stopped as a whole.
	Stop []workload.TaskID
	// Unplaced are the units of which not all tasks can start. OverQuota are those of them
	// that the limit of their account holds back.
	Unplaced, OverQuota []workload.UnitID
	// Unsearched are the units that may preempt others and were passed over, since the searches
	// were used up.
	Unsearched []workload.UnitID
}

// planner is one decision in progress.
type planner struct {
	workers []*Worker
	byRack  map[string][]*Worker
	racks   []string
	plan    Plan
	// idleAccelerators counts the accelerators of the idle workers of each rack. Units that
	// are not urgent must leave as many of them as headroom says.
	headroom         int
	idleAccelerators map[string]int
	// candidates and gangs are computed when a search for a preemption needs them.
	candidates map[candidatesKey][]candidate
	gangs      map[workload.UnitID][]member
	// states are keyed by the first member of the candidates.
	states map[workload.TaskID]*candidateState
	// searches counts the units for which a search was made, searchNumber the searches.
	searches, searchNumber int
}

// Decide places units in the order of CompareUnits. headroom is the number of
// accelerators of idle workers that is kept free in each rack for urgent units. Decide
// sorts units and changes their PerWorker and the workers' Free and Releasing.
func Decide(workers []*Worker, units []*Unit, headroom int) Plan {
	p := newPlanner(workers, headroom)
	slices.SortStableFunc(units, CompareUnits)
	for _, u := range units {
		p.place(u)
	}
	return p.plan
}

func newPlanner(workers []*Worker, headroom int) *planner {
	p := &planner{workers: workers, byRack: map[string][]*Worker{}, states: map[workload.TaskID]*candidateState{}, headroom: headroom, idleAccelerators: map[string]int{}, candidates: map[candidatesKey][]candidate{}}
	if severalClasses(workers) {
		// The parts of a pool by class are then slices of it; see partsByClass.
		p.workers = slices.SortedStableFunc(slices.Values(workers), func(a, b *Worker) int { return cmp.Compare(a.Class, b.Class) })
	}
	for _, w := range p.workers {
		if _, known := p.byRack[w.Rack]; !known {
			p.racks = append(p.racks, w.Rack)
		}
		p.byRack[w.Rack] = append(p.byRack[w.Rack], w)
		if w.Schedulable && w.idle() {
			p.idleAccelerators[w.Rack] += w.Capacity.Accelerators
		}
	}
	slices.Sort(p.racks)
	return p
}

// place adds a unit to the plan, after all that come before it.
func (p *planner) place(u *Unit) {
	if u.Step.Gang {
		p.placeGang(u)
	} else {
		p.placeTasks(u)
	}
}

// CompareUnits orders units as they are placed; it returns a negative number if a comes
// first.
func CompareUnits(a, b *Unit) int {
	return cmp.Or(
		compareBool(b.Guaranteed, a.Guaranteed),
		compareBool(b.LongRunning, a.LongRunning),
		compareBool(a.Expired, b.Expired),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.DeadlineMS, b.DeadlineMS),
		cmp.Compare(a.ID.Job, b.ID.Job),
		cmp.Compare(a.ID.Round, b.ID.Round),
		cmp.Compare(a.ID.Step, b.ID.Step),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// eligible reports whether the unit's tasks could run on the worker if it were empty.
func eligible(u *Unit, w *Worker) bool {
	if other := w.startsFor; other != nil && other != u && (u.StartsApart || other.StartsApart) {
		return false
	}
	return w.Schedulable && (u.AllowedWorkers == nil || u.AllowedWorkers[w.ID]) && (u.Step.Label == "" || w.hasLabel(u.Step.Label)) && u.Step.Demand().Fits(w.Capacity)
}

// mayStartNow reports whether the unit's tasks may start on the worker as it is known now.
func mayStartNow(u *Unit, w *Worker) bool {
	return eligible(u, w) && (!w.Doubtful || !u.Step.Gang || u.Guaranteed || u.AnyRack)
}

// idle reports whether nothing runs on the worker.
func (w *Worker) idle() bool { return w.Free == w.Capacity }

// leavesHeadroom reports whether the unit may start on the worker. A unit that is not
// urgent may use an idle worker only if the rack's other idle workers still provide the
// headroom; taken is the number of accelerators of idle workers of the rack that the unit
// has chosen already. Headroom lets bursts of urgent jobs start at once, without a wait
// for stops; it consists of whole workers because gangs need them.
func (p *planner) leavesHeadroom(u *Unit, w *Worker, taken int) bool {
	if u.Priority == 0 || u.LongRunning || u.MayUseHeadroom || u.RequiredRack != "" || !w.idle() {
		return true
	}
	return p.idleAccelerators[w.Rack]-taken-w.Capacity.Accelerators >= p.headroom
}

// slots returns how many tasks of the unit fit on the worker within free.
func slots(u *Unit, w *Worker, free workload.Resources) int {
	n := u.Step.Demand().Count(free)
	if u.Step.MaxPerWorker > 0 {
		n = min(n, u.Step.MaxPerWorker-u.PerWorker[w.ID])
	}
	return max(0, n)
}

// localRack returns the rack with the unit's data, or "" if it has none, if no worker
// there is eligible, or if the unit may use any rack.
func (p *planner) localRack(u *Unit) string {
	if u.Step.DataRack == "" || u.AnyRack {
		return ""
	}
	for _, w := range p.byRack[u.Step.DataRack] {
		if eligible(u, w) {
			return u.Step.DataRack
		}
	}
	return ""
}

// placeTasks places the tasks of a unit one by one.
func (p *planner) placeTasks(u *Unit) {
	pool := p.workers
	if rack := p.localRack(u); rack != "" {
		pool = p.byRack[rack]
	}
	for i, index := range u.Waiting {
		if u.Quota.fitting(u.Step.Need) == 0 {
			p.holdBack(u, 1)
			return
		}
		w := p.bestFit(u, pool)
		if w == nil {
			p.plan.Unplaced = append(p.plan.Unplaced, u.ID)
			if u.mayPreempt() {
				p.preempt(u, u.Waiting[i:], [][]*Worker{pool})
			}
			return
		}
		p.start(u, index, w)
	}
}

// holdBack records that the limit of the unit's account does not allow the given number of
// its tasks. An urgent unit may stop less urgent work of its own account, and nothing else.
func (p *planner) holdBack(u *Unit, tasks int) {
	p.plan.Unplaced = append(p.plan.Unplaced, u.ID)
	p.plan.OverQuota = append(p.plan.OverQuota, u.ID)
	if u.mayPreempt() {
		p.preemptWithinQuota(u, tasks)
	}
	if late := u.MayUseHeadroom && !u.Expired; late || u.Priority == 0 && !u.Expired {
		u.Quota.hold(u.Step.Need, tasks)
	}
}

// bestFit returns the worker that suits a task of the unit best, or nil if it fits on
// none.
func (p *planner) bestFit(u *Unit, pool []*Worker) *Worker {
	var chosen *Worker
	for _, w := range pool {
		if !eligible(u, w) || slots(u, w, w.Free) == 0 || !p.leavesHeadroom(u, w, 0) {
			continue
		}
		if chosen == nil || compareFit(u, w, chosen) < 0 {
			chosen = w
		}
	}
	return chosen
}

// compareFit orders workers by how well they suit a task of the unit, the best first.
// Among otherwise equal workers, the one with the least free capacity is the best.
func compareFit(u *Unit, a, b *Worker) int {
	return cmp.Or(
		compareBool(u.Avoid[a.ID], u.Avoid[b.ID]),
		cmp.Compare(a.Penalty, b.Penalty),
		cmp.Compare(harmStep(u, a), harmStep(u, b)),
		compareBool(wouldMix(u, a), wouldMix(u, b)),
		compareClass(u, a, b),
		compareSpeed(u, a, b),
		cmp.Compare(a.Free.Accelerators, b.Free.Accelerators),
		cmp.Compare(b.Speed, a.Speed),
		cmp.Compare(a.Free.MemoryMB, b.Free.MemoryMB),
		cmp.Compare(a.ID, b.ID),
	)
}

// wouldMix reports whether starting a task of the unit on the worker would put best-effort
// and latency-sensitive tasks beside each other.
func wouldMix(u *Unit, w *Worker) bool {
	return slices.ContainsFunc(w.Running, func(r RunningTask) bool {
		return u.Step.BestEffort && r.LatencySensitive || u.Step.LatencyTargetMS > 0 && r.BestEffort
	})
}

// harmStepWidth is the width of the steps in which harm is compared; smaller differences do not
// matter.
const harmStepWidth = 0.1

// harmStep returns how much a task of the unit and those on the worker would slow each other down,
// in steps. It keeps pairs apart that harm each other while there is room, and where there is none,
// lets those share that harm each other least.
// Units that are in time on fast workers only are not kept from these.
func harmStep(u *Unit, w *Worker) int {
	if u.NeedsFast {
		return 0
	}
	return int(harmOn(u, w) / harmStepWidth)
}

// harmOn returns by which fraction of their time a task of the unit and those on the worker would
// slow each other down.
func harmOn(u *Unit, w *Worker) float64 {
	if len(u.Harm) == 0 {
		return 0
	}
	harm := 0.0
	seen := map[string]bool{}
	add := func(kind string) {
		if !seen[kind] {
			seen[kind] = true
			harm += u.Harm[kind]
		}
	}
	for i := range w.Running {
		add(w.Running[i].Kind)
	}
	for _, kind := range w.startedKinds {
		add(kind)
	}
	return harm
}

// speedWeight is how many leftover accelerators weigh as much as doubling the unit's run
// time.
func speedWeight(u *Unit) float64 {
	if u.Priority == 0 {
		return 32
	}
	return 8
}

// speedStep is the width of the speed classes that compareSpeed compares; smaller
// differences do not matter.
const speedStep = 0.15

// compareSpeed prefers fast workers for urgent units, whose objective leaves the least
// time, on sites whose workers differ in speed.
func compareSpeed(u *Unit, a, b *Worker) int {
	if u.Priority != 0 {
		return 0
	}
	return cmp.Compare(int(b.Speed/speedStep), int(a.Speed/speedStep))
}

// start adds the start of a task to the plan and takes its resources.
func (p *planner) start(u *Unit, index int, w *Worker) {
	if w.idle() {
		p.idleAccelerators[w.Rack] -= w.Capacity.Accelerators
	}
	w.Free = w.Free.Sub(u.Step.Demand())
	w.startsFor = u
	harm := harmOn(u, w)
	if u.Kind != "" {
		w.startedKinds = append(w.startedKinds, u.Kind)
	}
	u.Quota.take(u.Step.Need)
	u.PerWorker[w.ID]++
	p.plan.Start = append(p.plan.Start, Assignment{Task: workload.TaskID{UnitID: u.ID, Index: index}, Worker: w.ID, Harm: harm})
}

// prefersFast reports whether fast workers are used first for the unit. Others leave them to it.
func (u *Unit) prefersFast() bool { return u.Priority == 0 || u.NeedsFast }

// compareClass prefers fast or slow workers.
func compareClass(u *Unit, a, b *Worker) int {
	if u.prefersFast() {
		return cmp.Compare(b.Class, a.Class)
	}
	return cmp.Compare(a.Class, b.Class)
}

// placeGang places all waiting tasks of a gang or none.
func (p *planner) placeGang(u *Unit) {
	if u.Quota.fitting(u.Step.Need) < len(u.Waiting) {
		p.holdBack(u, len(u.Waiting))
		return
	}
	pools := p.gangPools(u)
	var chosen []*Worker
	bestScore := 0.0
	for _, candidates := range [][][]*Worker{partsByClass(pools), pools} {
		for _, pool := range candidates {
			picks, score := p.pickWorkers(u, pool)
			if picks != nil && (chosen == nil || score < bestScore) {
				chosen, bestScore = picks, score
			}
		}
		if chosen != nil {
			break
		}
	}
	if chosen == nil && u.AnyRack {
		chosen, _ = p.pickWorkers(u, p.workers)
	}
	if chosen == nil {
		p.plan.Unplaced = append(p.plan.Unplaced, u.ID)
		if u.mayPreempt() {
			p.preempt(u, u.Waiting, pools)
		}
		return
	}
	for i, w := range chosen {
		p.start(u, u.Waiting[i], w)
	}
}

// partsByClass returns the parts of pools that have one speed class, or nil if all pools have. A gang
// works at the speed of its slowest member, so that one of several classes holds fast workers for
// nothing. Pools are in the order of classes.
func partsByClass(pools [][]*Worker) [][]*Worker {
	if !slices.ContainsFunc(pools, severalClasses) {
		return nil
	}
	var parts [][]*Worker
	for _, pool := range pools {
		begin := 0
		for i, w := range pool {
			if w.Class != pool[begin].Class {
				parts, begin = append(parts, pool[begin:i]), i
			}
		}
		parts = append(parts, pool[begin:])
	}
	return parts
}

// fastClassScore is added to the score of a gang for each speed class above the slowest that a less
// urgent unit takes: some leftover accelerators on four workers.
const fastClassScore = 30

// classScore ranks gangs by the speed class of their fastest worker.
func classScore(u *Unit, picks []*Worker) float64 {
	if u.prefersFast() {
		return 0
	}
	highest := 0
	for _, w := range picks {
		highest = max(highest, w.Class)
	}
	return fastClassScore * float64(highest)
}

// severalClasses reports whether the workers are of more than one speed class.
func severalClasses(workers []*Worker) bool {
	return slices.ContainsFunc(workers, func(w *Worker) bool { return w.Class != workers[0].Class })
}

// gangPools returns the sets of workers among which a gang may be placed.
func (p *planner) gangPools(u *Unit) [][]*Worker {
	if u.RequiredRack != "" {
		return [][]*Worker{p.byRack[u.RequiredRack]}
	}
	if rack := p.localRack(u); rack != "" && p.fitsWhenEmpty(u, p.byRack[rack]) {
		return [][]*Worker{p.byRack[rack]}
	}
	if !u.Step.SameRack {
		return [][]*Worker{p.workers}
	}
	var pools [][]*Worker
	for _, rack := range p.racks {
		if p.fitsWhenEmpty(u, p.byRack[rack]) {
			pools = append(pools, p.byRack[rack])
		}
	}
	if pools == nil {
		return [][]*Worker{p.workers}
	}
	return pools
}

// fitsWhenEmpty reports whether the waiting tasks would fit into the pool if it were
// empty.
func (p *planner) fitsWhenEmpty(u *Unit, pool []*Worker) bool {
	total := 0
	for _, w := range pool {
		if eligible(u, w) {
			n := u.Step.Demand().Count(w.Capacity)
			if u.Step.MaxPerWorker > 0 {
				n = min(n, u.Step.MaxPerWorker)
			}
			total += n
		}
	}
	return total >= len(u.Waiting)
}

// HasAmpleCapacity reports whether a unit's tasks would fit on the workers twice over,
// regardless of racks, and, unless they run for long, less than half of some resource is used.
// Work that waits on such a site should run, by the platform's rule. It detects sites that are
// mostly idle although a gang that needs one rack, or tasks that need the rack of their data,
// have to wait because every rack is partly used.
func HasAmpleCapacity(workers []*Worker, u *Unit) bool {
	fitting := 0
	var free, capacity workload.Resources
	for _, w := range workers {
		free, capacity = free.Add(w.Free), capacity.Add(w.Capacity)
		if eligible(u, w) {
			fitting += slots(u, w, w.Free)
		}
	}
	return fitting >= 2*len(u.Waiting) && (u.LongRunning ||
		2*free.MilliCores > capacity.MilliCores || 2*free.MemoryMB > capacity.MemoryMB || 2*free.Accelerators > capacity.Accelerators)
}

// pickWorkers returns workers of the pool for all waiting tasks, or nil if they do not
// fit. The score ranks pools: lower is better.
func (p *planner) pickWorkers(u *Unit, pool []*Worker) (picks []*Worker, score float64) {
	taken := map[string]int{}
	var order []*Worker
	room := 0
	for _, w := range pool {
		if !mayStartNow(u, w) {
			continue
		}
		if n := slots(u, w, w.Free); n > 0 {
			order, room = append(order, w), room+n
		}
	}
	if room < len(u.Waiting) {
		return nil, 0
	}
	slices.SortFunc(order, func(a, b *Worker) int { return compareFit(u, a, b) })
	if severalClasses(order) {
		// The slowest member sets the speed, so that as few fast workers as possible are used.
		slices.SortStableFunc(order, func(a, b *Worker) int {
			return cmp.Or(compareBool(u.Avoid[a.ID], u.Avoid[b.ID]), cmp.Compare(a.Penalty, b.Penalty), cmp.Compare(a.Class, b.Class))
		})
	}
	slowest := 0.0
	for _, w := range order {
		if !p.leavesHeadroom(u, w, taken[w.Rack]) {
			continue
		}
		if w.idle() {
			taken[w.Rack] += w.Capacity.Accelerators
		}
		n := min(slots(u, w, w.Free), len(u.Waiting)-len(picks))
		for range n {
			picks = append(picks, w)
		}
		if n > 0 {
			left := w.Free.Accelerators - n*u.Step.Need.Accelerators
			score += float64(left) + 10*float64(w.Penalty)
			if u.Avoid[w.ID] {
				score += 100
			}
			if w.Speed > 0 {
				slowest = max(slowest, 1/w.Speed)
			}
		}
		if len(picks) == len(u.Waiting) {
			return picks, score + speedWeight(u)*slowest + classScore(u, picks)
		}
	}
	return nil, 0
}
