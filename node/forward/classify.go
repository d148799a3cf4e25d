package forward

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// failed classifies a try that brought no answer. sent is proved by the bytes
// counted on the connection.
func (x *exchange) failed(err error, sent bool) ending {
	if x.body != nil {
		if refusal := x.body.failure.Load(); refusal != nil {
			return x.bodyFailed(refusal, sent)
		}
	}
	switch cause := context.Cause(x.ctx); {
	case errors.Is(cause, errCut):
		return ended(seam.OutcomeCancelled, wasCut(sent))
	case errors.Is(cause, errDeadline) && sent:
		return ended(seam.OutcomeTimeout, steering.Unknown(steering.ReasonDeadline, "the target had the request when the deadline passed"))
	case errors.Is(cause, errDeadline):
		return ended(seam.OutcomeUnreachable, steering.Refuse(steering.ReasonDeadline, 0, "the deadline passed before the request was sent"))
	case cause != nil:
		return ended(seam.OutcomeCancelled, &steering.Refusal{Reason: steering.ReasonCancelled, Ran: ranIf(sent), Detail: "the caller went away"})
	case sent:
		return ended(seam.OutcomeBroken, steering.Unknown(steering.ReasonTargetDied, fmt.Sprintf("no answer: %v", err)))
	default:
		return ended(seam.OutcomeUnreachable, steering.Refuse(steering.ReasonTargetFailed, 0, fmt.Sprintf("not sent: %v", err)))
	}
}

// bodyFailed is the end of a try whose body the caller did not send whole.
func (x *exchange) bodyFailed(refusal *steering.Refusal, sent bool) ending {
	final := *refusal
	final.Ran = ranIf(sent)
	return ended(seam.OutcomeCancelled, &final)
}

func ranIf(sent bool) steering.Ran {
	if sent {
		return steering.RanUnknown
	}
	return steering.RanNo
}
