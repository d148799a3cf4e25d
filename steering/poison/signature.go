package poison

import "time"

// assignSignature determines the combination of IDs by which a request that was just
// lost with its target is refused.
//
// What a poison request shares with harmless requests (its page, or a header that many
// requests have) was present at each of the losses too. If each ID were refused by
// itself, no caller could request that page any more, and since no request for it could
// finish, this would not end. Therefore the IDs of the request that have reached the loss
// limit form one signature. A request that has all of them is refused. A request that has
// some of them is sent on trial, and clears those when it finishes normally.
func (l *List) assignSignature(now time.Time, m Fingerprints) {
	var buf [maxIDs]ID
	signature := ID(0)
	for _, id := range m.ids(&buf) {
		if l.atLossLimit(now, id) {
			signature ^= id
		}
	}
	if signature == 0 {
		return
	}
	for _, id := range m.ids(&buf) {
		if l.atLossLimit(now, id) {
			l.setSignature(l.records[id], signature)
		}
	}
}

func (l *List) atLossLimit(now time.Time, id ID) bool {
	r, ok := l.records[id]
	return ok && r.lossCount(now, l.cfg, l.recentlyCompleted(now, id)) >= l.cfg.LossLimit
}

// setSignature assigns a record to another signature, or to none if signature is zero.
func (l *List) setSignature(r *record, signature ID) {
	if r.signature == signature {
		return
	}
	if r.signature != 0 {
		l.signatureSizes[r.signature]--
		if l.signatureSizes[r.signature] == 0 {
			delete(l.signatureSizes, r.signature)
		}
	}
	r.signature = signature
	if signature != 0 {
		l.signatureSizes[signature]++
	}
}

// signatureMatches counts the IDs of a request by the signature to which they belong.
type signatureMatches struct {
	signature [maxIDs]ID
	count     [maxIDs]int
	n         int
}

func (s *signatureMatches) add(signature ID) {
	for i := range s.n {
		if s.signature[i] == signature {
			s.count[i]++
			return
		}
	}
	s.signature[s.n], s.count[s.n] = signature, 1
	s.n++
}

// held returns the number of losses that are held against a request, and when the first
// of them expires. A request that has only some of the IDs of a signature stays below the
// limit.
func (l *List) held(now time.Time, m Fingerprints) (lossCount int, until time.Time) {
	var buf [maxIDs]ID
	var found signatureMatches
	ids := m.ids(&buf)
	for _, id := range ids {
		if r, ok := l.records[id]; ok && r.signature != 0 {
			found.add(r.signature)
		}
	}
	for _, id := range ids {
		r, ok := l.records[id]
		if !ok {
			continue
		}
		n := r.lossCount(now, l.cfg, l.recentlyCompleted(now, id))
		if n >= l.cfg.LossLimit && !found.complete(l, r.signature) {
			n = l.cfg.LossLimit - 1
		}
		if n > lossCount {
			lossCount = n
			until = r.firstExpiry(now, l.cfg)
		}
	}
	return lossCount, until
}

// complete reports whether the request has every ID that belongs to a signature.
func (s *signatureMatches) complete(l *List, signature ID) bool {
	if signature == 0 {
		return true
	}
	for i := range s.n {
		if s.signature[i] == signature {
			return s.count[i] >= l.signatureSizes[signature]
		}
	}
	return false
}
