package allowance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/allowance"
)

// Guards against a VM that returns a credit to the owner before its waiting request has used it.
func TestCreditThatArrivesAfterAnIdleTimeIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	a := allowance.NewAccount(now, allowance.Limit{Rate: 2, Burst: 2}, 12)
	a.MarkLow(now.Add(time.Minute))
	a.RecordArrival(now)
	assert.Equal(t, a.Admit(now), allowance.AskOwner)
	a.AddWaiting()
	r := a.Report(now)
	a.ApplyReply(now, allowance.Reply{Number: r.Number, Credits: 1, Tight: true})
	assert.Assert(t, !a.ReportDue(now), "another report would return the credit")
	assert.Equal(t, a.Admit(now), allowance.Admitted)
}
