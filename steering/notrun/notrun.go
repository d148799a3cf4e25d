package notrun

// Proof is what shows that a request has not run.
type Proof uint8

// Proofs.
const (
	// None: the request may have run.
	None Proof = iota
	// NothingSent: nothing of it has left this VM.
	NothingSent
	// Rejected: the receiver has not run it.
	Rejected
	// ReturnedByVM: another entry VM has not run it.
	ReturnedByVM
)

// String returns the name of the proof in logs and metrics.
func (p Proof) String() string {
	return [...]string{"none", "nothing_sent", "rejected", "returned_by_vm"}[p]
}

// Evidence is what an attempt to have a request run has shown.
type Evidence struct {
	// Sent is set if a byte of the request may have left this VM.
	Sent bool
	// RequestID is the ID of the request, empty if it has none.
	RequestID string
	// ResponseID is the ID that the response names. Rejects is set if the response states that the request has
	// not run. Both are empty without a response.
	ResponseID string
	Rejects    bool
	// Returned is set if another entry VM returned the request as not run.
	Returned bool
}

// Of returns what proves that the request has not run in the attempt.
func Of(e Evidence) Proof {
	switch {
	case !e.Sent:
		return NothingSent
	case e.Returned:
		return ReturnedByVM
	case e.Rejects && e.RequestID != "" && Belongs(e.RequestID, e.ResponseID):
		return Rejected
	}
	return None
}

// Belongs reports whether a response that names responseID is the answer to the request with requestID.
func Belongs(requestID, responseID string) bool { return requestID == responseID }
