package peers

import "teaselmoor/internal/base/clock"

// PromptRequest asks the owner of a server whether a prompt may be sent there now. A daemon that
// cannot send it to the owner sends it to its hub, which forwards it once.
type PromptRequest struct {
	From, Server string
	ID           uint64 // unique among the requests of From
	Tokens       int
	Rank         int          // urgency; 0 is the most urgent
	GapGoal      clock.Millis // longest pause allowed for streams on the server
	Left         clock.Millis // until the prompt is sent in any case; 0: it has been sent
	Account      uint64       // hash of the name of the caller's account; 0: none
}

// PromptAnswer answers a PromptRequest of the daemon To. An answer that is not granted shows that
// the owner has queued the prompt; a granted one follows.
type PromptAnswer struct {
	To, Server string
	ID         uint64
	Granted    bool
}

// PromptWithdrawal withdraws a PromptRequest of which the prompt is not sent to the server, or was
// sent without waiting for the owner, which did not answer.
type PromptWithdrawal struct {
	From, Server string
	ID           uint64
}

type (
	wirePromptRequest struct {
		_             struct{} `cbor:",toarray"`
		From, Server  string
		ID            uint64
		Tokens, Rank  int
		GapGoal, Left int64
		Account       uint64
	}
	wirePromptAnswer struct {
		_          struct{} `cbor:",toarray"`
		To, Server string
		ID         uint64
		Granted    bool
	}
	wirePromptWithdrawal struct {
		_            struct{} `cbor:",toarray"`
		From, Server string
		ID           uint64
	}
)

// encodeTurns sets the fields of a message on prompts that wait for a grant.
func (wireMessage *wireMessage) encodeTurns(message Message) {
	if request := message.PromptRequest; request != nil {
		wireMessage.Turn = &wirePromptRequest{
			From: request.From, Server: request.Server, ID: request.ID, Tokens: request.Tokens, Rank: request.Rank,
			GapGoal: int64(request.GapGoal), Left: int64(request.Left), Account: request.Account,
		}
	}
	if answer := message.PromptAnswer; answer != nil {
		wireMessage.TurnAnswer = &wirePromptAnswer{To: answer.To, Server: answer.Server, ID: answer.ID, Granted: answer.Granted}
	}
	if withdrawal := message.PromptWithdrawal; withdrawal != nil {
		wireMessage.TurnEnd = &wirePromptWithdrawal{From: withdrawal.From, Server: withdrawal.Server, ID: withdrawal.ID}
	}
}

// decodeTurns sets the fields that encodeTurns has encoded.
func (message *Message) decodeTurns(wire wireMessage) {
	if request := wire.Turn; request != nil {
		message.PromptRequest = &PromptRequest{
			From: request.From, Server: request.Server, ID: request.ID, Tokens: request.Tokens, Rank: request.Rank,
			GapGoal: clock.Millis(request.GapGoal), Left: clock.Millis(request.Left), Account: request.Account,
		}
	}
	if answer := wire.TurnAnswer; answer != nil {
		message.PromptAnswer = &PromptAnswer{To: answer.To, Server: answer.Server, ID: answer.ID, Granted: answer.Granted}
	}
	if withdrawal := wire.TurnEnd; withdrawal != nil {
		message.PromptWithdrawal = &PromptWithdrawal{From: withdrawal.From, Server: withdrawal.Server, ID: withdrawal.ID}
	}
}
