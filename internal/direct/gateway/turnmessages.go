package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/prefill"
)

// promptTurns is the state of prefill admission control on a daemon, except for the queues of
// the servers that it owns, which their order workers hold.
type promptTurns struct {
	requester *prefill.Requester
	rate      prefill.Rate             // of engines
	listeners map[uint64]chan struct{} // by request of this daemon that waits for a grant; receives a token with each answer
	routes    map[string]answerRoute   // by requesting daemon whose requests arrive through its hub
	due       map[string]clock.Millis  // by server that this daemon owns: when the next prompt may be granted
	timerAt   clock.Millis             // when grantLoop looks at the queues next; 0: at no fixed time
	earlier   chan struct{}            // holds a token when grantLoop has to look earlier
	heardAt   map[string]clock.Millis  // by peer: when it last sent a delta or an answer about a prompt
	reported  int64                    // prompts sent without a grant and reported to owners
}

// answerRoute is the peer through which a daemon's requests arrive.
type answerRoute struct {
	peer  string
	until clock.Millis // when the last of these requests ends
}

// newPromptTurns returns the state of a daemon that starts. The numbers of its requests begin at
// its start time in milliseconds, so that they differ from those of the process before.
func newPromptTurns(options prefill.Options, incarnation int64) *promptTurns {
	return &promptTurns{
		requester: prefill.NewRequester(options, uint64(uint32(incarnation))), listeners: make(map[uint64]chan struct{}),
		routes: make(map[string]answerRoute), due: make(map[string]clock.Millis), earlier: make(chan struct{}, 1),
		heardAt: make(map[string]clock.Millis),
	}
}

// listen returns a channel that receives a token with each answer to a request, until unlisten
// is called.
func (promptTurns *promptTurns) listen(id uint64) <-chan struct{} {
	changed := make(chan struct{}, 1)
	promptTurns.listeners[id] = changed
	return changed
}

func (promptTurns *promptTurns) unlisten(id uint64) {
	delete(promptTurns.listeners, id)
}

// applyAnswer applies an owner's answer to a request of this daemon, and wakes the request.
func (promptTurns *promptTurns) applyAnswer(server string, id uint64, granted bool) {
	if promptTurns.requester.Answer(server, id, granted) == nil {
		return
	}
	signal(promptTurns.listeners[id])
}

// heardLifetime is how long the last message of a peer is remembered.
const heardLifetime = clock.Minute

// prune drops the routes of answers to requests that have ended, and peers that are gone.
func (promptTurns *promptTurns) prune(now clock.Millis) {
	maps.DeleteFunc(promptTurns.heardAt, func(_ string, at clock.Millis) bool { return now-at >= heardLifetime })
	maps.DeleteFunc(promptTurns.routes, func(_ string, route answerRoute) bool { return route.until <= now })
}

// signal puts a token into a channel with room for one, unless it holds one.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// promptRequest returns the message about a prompt to the owner of its server. With left 0 it reports
// a prompt that is sent. The mutex must be held.
func (core *core) promptRequest(job *job, server string, id uint64, left clock.Millis) peers.PromptRequest {
	return peers.PromptRequest{
		From: core.settings.Name, Server: server, ID: id, Tokens: job.headers.PromptTokens, Rank: job.rank,
		GapGoal: core.catalog.ServiceGapGoal(job.service), Left: left,
	}
}

// requestTurn asks the owner of a server to admit a prompt, and reports whether the request
// could be sent. The mutex must be held.
func (gateway *Gateway) requestTurn(now clock.Millis, job *job, wait *prefill.Wait) bool {
	core := gateway.core
	request := core.promptRequest(job, wait.Server, wait.ID, max(0, wait.Until-now))
	if wait.Owner == core.settings.Name {
		return gateway.queuePrompt(now, request)
	}
	return gateway.sendToOwner(wait.Owner, peers.Message{PromptRequest: &request})
}

// reportPrompt reports a prompt that is sent without a grant to the owner of its server. The report
// has the number of the request that the owner did not answer in time, so that a prompt which it
// has granted meanwhile is not counted twice. Without a connection, the report is dropped. The mutex
// must be held.
func (gateway *Gateway) reportPrompt(ctx context.Context, now clock.Millis, job *job, server string, turn *promptTurn) {
	core := gateway.core
	owner, known := core.ownerOf(now, server)
	if ctx.Err() != nil || !known || !core.turns.requester.ShouldReport(now, job.turn, core.heardFrom(now, owner)) {
		return
	}
	if turn.id == 0 {
		turn.id = core.turns.requester.NextID()
	}
	report := core.promptRequest(job, server, turn.id, 0)
	if owner == core.settings.Name && gateway.queuePrompt(now, report) || owner != core.settings.Name && gateway.sendToOwner(owner, peers.Message{PromptRequest: &report}) {
		core.turns.reported++
	}
}

// withdrawTurn withdraws the request for a prompt that is not sent to its server. The mutex must
// be held.
func (gateway *Gateway) withdrawTurn(wait *prefill.Wait) {
	core := gateway.core
	withdrawal := peers.PromptWithdrawal{From: core.settings.Name, Server: wait.Server, ID: wait.ID}
	if wait.Owner == core.settings.Name {
		gateway.removePrompt(core.now(), withdrawal)
		return
	}
	gateway.sendToOwner(wait.Owner, peers.Message{PromptWithdrawal: &withdrawal})
}

// sendToOwner sends a message to the owner of a server, or without a connection to it to this
// daemon's hub, and reports whether it was sent. The mutex must be held.
func (gateway *Gateway) sendToOwner(owner string, message peers.Message) bool {
	core := gateway.core
	if peer, ok := core.members.Peer(owner); ok && gateway.send(peer.Address, message) {
		return true
	}
	hub, ok := core.members.Peer(core.hub)
	return ok && gateway.send(hub.Address, message)
}

// forwardToOwner forwards a message that a daemon of this hub's group sent about a prompt. One
// that has been forwarded before is dropped, as is the report of a prompt that was sent to a server
// whose owner is not heard of. The mutex must be held.
func (gateway *Gateway) forwardToOwner(from, requester, server string, message peers.Message) {
	core := gateway.core
	now := core.now()
	owner, known := core.claims.Owner(now, server)
	peer, connected := core.members.Peer(owner)
	isReport := message.PromptRequest != nil && message.PromptRequest.Left == 0
	if isReport && !core.turns.requester.Heard(now, core.heardFrom(now, owner)) {
		return
	}
	if from == requester && core.inGroup(from) && known && connected {
		gateway.send(peer.Address, message)
	}
}

// handlePromptRequest queues a peer's prompt and answers, or forwards the request to the owner
// of the server.
func (gateway *Gateway) handlePromptRequest(from string, request peers.PromptRequest) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	if from != request.From && request.Left > 0 {
		core.turns.routes[request.From] = answerRoute{peer: from, until: max(core.turns.routes[request.From].until, now+request.Left)}
	}
	if !gateway.queuePrompt(now, request) {
		gateway.forwardToOwner(from, request.From, request.Server, peers.Message{PromptRequest: &request})
	}
}

// handlePromptWithdrawal removes a peer's prompt from its queue, or forwards the withdrawal to
// the owner of the server.
func (gateway *Gateway) handlePromptWithdrawal(from string, withdrawal peers.PromptWithdrawal) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if !gateway.removePrompt(core.now(), withdrawal) {
		gateway.forwardToOwner(from, withdrawal.From, withdrawal.Server, peers.Message{PromptWithdrawal: &withdrawal})
	}
}

// handlePromptAnswer applies an owner's answer, or forwards it to the daemon that asked. Only
// the owner's own answers are forwarded, and so each of them once.
func (gateway *Gateway) handlePromptAnswer(from string, answer peers.PromptAnswer) {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.turns.heardAt[from] = core.now()
	if answer.To == core.settings.Name {
		core.turns.applyAnswer(answer.Server, answer.ID, answer.Granted)
		return
	}
	owner, known := core.claims.Owner(core.now(), answer.Server)
	if peer, ok := core.members.Peer(answer.To); ok && known && owner == from {
		gateway.send(peer.Address, peers.Message{PromptAnswer: &answer})
	}
}

// queuePrompt adds a prompt to the queue of a server, and answers it if it has to wait. It
// reports false if this daemon does not own the server. The mutex must be held.
func (gateway *Gateway) queuePrompt(now clock.Millis, request peers.PromptRequest) bool {
	worker, ok := gateway.core.orderWorkers[request.Server]
	if !ok {
		return false
	}
	added := prefill.Request{
		Daemon: request.From, ID: request.ID, Tokens: request.Tokens, Rank: request.Rank, GapGoal: request.GapGoal, Until: now + request.Left,
	}
	worker.prompts.Add(now, added)
	granted := gateway.grantPrompts(now, request.Server, worker)
	if request.Left > 0 && !slices.Contains(granted, added) {
		gateway.answerPrompt(request.Server, added, false)
	}
	return true
}

// removePrompt removes a prompt from the queue of a server. It reports false if this daemon does
// not own the server. The mutex must be held.
func (gateway *Gateway) removePrompt(now clock.Millis, withdrawal peers.PromptWithdrawal) bool {
	worker, ok := gateway.core.orderWorkers[withdrawal.Server]
	if !ok {
		return false
	}
	worker.prompts.Withdraw(now, withdrawal.From, withdrawal.ID)
	gateway.grantPrompts(now, withdrawal.Server, worker)
	return true
}

// grantPrompts grants the prompts that a server may be sent now, and has grantLoop look at the
// queue again when the next one may be. The mutex must be held.
func (gateway *Gateway) grantPrompts(now clock.Millis, server string, worker *orderWorker) []prefill.Request {
	turns := gateway.core.turns
	granted, at := worker.prompts.Next(now, gateway.core.tokensPerMS(now, server))
	for _, request := range granted {
		gateway.answerPrompt(server, request, true)
	}
	if at == 0 {
		delete(turns.due, server)
		return granted
	}
	turns.due[server] = at
	if turns.timerAt == 0 || at < turns.timerAt {
		turns.timerAt = at
		signal(turns.earlier)
	}
	return granted
}

// answerPrompt tells a daemon whether its prompt is granted: directly if there is a connection,
// otherwise through the peer from which its request came. The mutex must be held.
func (gateway *Gateway) answerPrompt(server string, request prefill.Request, granted bool) {
	core := gateway.core
	if request.Daemon == core.settings.Name {
		core.turns.applyAnswer(server, request.ID, granted)
		return
	}
	message := peers.Message{PromptAnswer: &peers.PromptAnswer{To: request.Daemon, Server: server, ID: request.ID, Granted: granted}}
	ways := []string{request.Daemon, core.turns.routes[request.Daemon].peer}
	if requester, ok := core.members.Peer(request.Daemon); ok {
		ways = append(ways, requester.Hub) // a connection from the requester carries no answer
	}
	for _, way := range ways {
		if peer, ok := core.members.Peer(way); ok && gateway.send(peer.Address, message) {
			return
		}
	}
	core.log.Info("no way to the sender of a prompt", "Sender", request.Daemon, "Server", server, "ID", request.ID, "Granted", granted)
}

// grantLoop grants the prompts of the servers that this daemon owns when they are due, until the
// context ends.
func (gateway *Gateway) grantLoop(ctx context.Context) error {
	timer := time.NewTimer(clock.Minute.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.core.turns.earlier:
		case <-timer.C:
		}
		timer.Reset(gateway.grantDuePrompts().Duration())
	}
}

// grantDuePrompts grants the prompts that are due, and returns the time until the next ones are.
func (gateway *Gateway) grantDuePrompts() clock.Millis {
	core := gateway.core
	core.mutex.Lock()
	defer core.mutex.Unlock()
	now := core.now()
	core.turns.timerAt = now // no signal while all queues are looked at
	for server, at := range core.turns.due {
		worker, ok := core.orderWorkers[server]
		switch {
		case !ok:
			delete(core.turns.due, server)
		case at <= now:
			gateway.grantPrompts(now, server, worker)
		}
	}
	core.turns.timerAt = 0
	for _, at := range core.turns.due {
		if core.turns.timerAt == 0 || at < core.turns.timerAt {
			core.turns.timerAt = at
		}
	}
	if core.turns.timerAt == 0 {
		return clock.Minute
	}
	return max(1, core.turns.timerAt-now)
}

// promptsWaiting is the number of prompts that wait for a grant at this owner. The mutex must be
// held.
func (core *core) promptsWaiting() int {
	waiting := 0
	for _, worker := range core.orderWorkers {
		waiting += worker.prompts.Waiting()
	}
	return waiting
}
