package forward

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/responses"
	"heatherlock/steering"
)

// failed classifies a try that received no response. sent states whether any byte of the request
// left, as counted on the connection.
func (x *exchange) failed(err error, sent bool) tryResult {
	if x.body != nil {
		if refusal := x.body.failure.Load(); refusal != nil {
			return x.bodyFailed(refusal, sent)
		}
	}
	switch cause := context.Cause(x.ctx); {
	case errors.Is(cause, errCutByStop):
		return newTryResult(seam.OutcomeCancelled, cutByStopRefusal(sent))
	case errors.Is(cause, errDeadline) && sent:
		return newTryResult(seam.OutcomeTimeout, steering.RefuseUnknown(steering.ReasonDeadline, "the target had the request when the deadline passed"))
	case errors.Is(cause, errDeadline):
		return newTryResult(seam.OutcomeUnreachable, steering.Refuse(steering.ReasonDeadline, 0, "the deadline passed before the request was sent"))
	case cause != nil:
		return newTryResult(seam.OutcomeCancelled, &steering.Refusal{Reason: steering.ReasonCancelled, Ran: ranIf(sent), Detail: "the caller went away"})
	case errors.Is(err, responses.ErrMalformed):
		return newTryResult(seam.OutcomeBroken, steering.RefuseUnknown(steering.ReasonResponseMalformed, err.Error()))
	case sent:
		result := newTryResult(seam.OutcomeBroken, steering.RefuseUnknown(steering.ReasonTargetLost, fmt.Sprintf("no answer: %v", err)))
		result.connectionBroken = true
		return result
	default:
		return newTryResult(seam.OutcomeUnreachable, steering.Refuse(steering.ReasonTargetFailed, 0, fmt.Sprintf("not sent: %v", err)))
	}
}

// bodyFailed returns the result of a try whose body the caller did not send completely.
func (x *exchange) bodyFailed(refusal *steering.Refusal, sent bool) tryResult {
	final := *refusal
	final.Ran = ranIf(sent)
	return newTryResult(seam.OutcomeCancelled, &final)
}

func ranIf(sent bool) steering.Ran {
	if sent {
		return steering.RanUnknown
	}
	return steering.RanNo
}
