package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/dispatch"
)

const (
	whereMethod = receiverName + ".Where"
	// whereTimeout bounds a question to the leader, which may first make a plan.
	whereTimeout = 2 * time.Second
)

var errNoLeader = api.Errorf(api.CodeUnavailable, "no node leads now, or the leader cannot be reached")

// WhereReply is the reply to an RPC of Where: an answer, or why there is none.
type WhereReply struct {
	Answer *dispatch.WhereAnswer
	Code   api.Code
	Error  string
	// RetryAfter is that of an api.Error.
	RetryAfter time.Duration
}

// Where answers a question of another node if this one leads.
func (r *receiver) Where(q dispatch.WhereQuestion, reply *WhereReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	answer, err := r.leader.Where(ctx, q)
	if err != nil {
		e := api.AsError(err, api.NotRun)
		*reply = WhereReply{Code: e.Code, Error: e.Message, RetryAfter: e.RetryAfter}
		return nil
	}
	reply.Answer = answer
	return nil
}

// Where asks the leader, which may be any node, where the tasks of a job would go now. It changes
// nothing. Its error is an *api.Error.
func (n *Node) Where(ctx context.Context, q dispatch.WhereQuestion) (*dispatch.WhereAnswer, error) {
	if q.Job != nil {
		config, _, err := n.CurrentConfig(ctx)
		if err != nil {
			return nil, err
		}
		queue := config.Queue(q.Job.Queue)
		if queue == nil {
			return nil, api.Errorf(api.CodeInvalid, "version %d of the configuration has no queue %q", config.Version, q.Job.Queue)
		}
		q.Job.Policy, q.Job.SubmittedMS = queue.Policy, n.settings.UnixMS()
		if account := config.Account(q.Job.Account); account != nil {
			if err := account.CheckLimit(q.Job); err != nil {
				return &dispatch.WhereAnswer{Job: q.Job.ID, Note: fmt.Sprintf("would be refused: %v", err)}, nil
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	if n.leader.Leading() {
		return n.leader.Where(ctx, q)
	}
	term := n.replica.Term()
	if term.Address == "" || term.Resigned || term.Leader == n.settings.Incarnation {
		return nil, errNoLeader
	}
	var reply WhereReply
	if err := n.peers.Call(ctx, term.Address, whereMethod, q, &reply); err != nil {
		return nil, &api.Error{Code: api.CodeUnavailable, Message: fmt.Sprintf("%v: %v", errNoLeader.Message, err), Verdict: api.NotRun}
	}
	if reply.Answer == nil {
		return nil, &api.Error{Code: reply.Code, Message: reply.Error, Verdict: api.NotRun, RetryAfter: reply.RetryAfter}
	}
	return reply.Answer, nil
}
