package poison

import "time"

// accuse settles by which IDs a request is told that was just lost.
//
// What a culprit shares with harmless requests (its page, a header that many
// send) was there at each loss too. Were each ID refused by itself, nobody could
// read that page any more, and as nothing with it could finish, it would stay
// so. The IDs that reached the bar together are therefore one signature: a
// request that has all of them is refused; one that has some of them is tried
// alone, and clears those when it finishes.
func (l *List) accuse(now time.Time, m Mark) {
	var buf [maxIDs]ID
	signature := ID(0)
	for _, id := range m.ids(&buf) {
		if l.atBar(now, id) {
			signature ^= id
		}
	}
	if signature == 0 {
		return
	}
	for _, id := range m.ids(&buf) {
		if l.atBar(now, id) {
			l.sign(l.records[id], signature)
		}
	}
}

func (l *List) atBar(now time.Time, id ID) bool {
	r, ok := l.records[id]
	return ok && r.count(now, l.cfg, l.isProven(now, id)) >= l.cfg.Limit
}

// sign moves a record to another signature; zero takes it out of all.
func (l *List) sign(r *record, signature ID) {
	if r.signature == signature {
		return
	}
	if r.signature != 0 {
		l.signatures[r.signature]--
		if l.signatures[r.signature] == 0 {
			delete(l.signatures, r.signature)
		}
	}
	r.signature = signature
	if signature != 0 {
		l.signatures[signature]++
	}
}

// matches counts the IDs of a request that belong to a signature.
type matches struct {
	signature [maxIDs]ID
	count     [maxIDs]int
	n         int
}

func (s *matches) add(signature ID) {
	for i := range s.n {
		if s.signature[i] == signature {
			s.count[i]++
			return
		}
	}
	s.signature[s.n], s.count[s.n] = signature, 1
	s.n++
}

// held returns the losses held against a request, and when the first of them is
// forgotten. A request that has only a part of a signature stays under the bar.
func (l *List) held(now time.Time, m Mark) (count int, until time.Time) {
	var buf [maxIDs]ID
	var found matches
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
		n := r.count(now, l.cfg, l.isProven(now, id))
		if n >= l.cfg.Limit && !found.whole(l, r.signature) {
			n = l.cfg.Limit - 1
		}
		if n > count {
			count = n
			until = r.firstForgotten(now, l.cfg)
		}
	}
	return count, until
}

// whole reports whether the request has every accused ID of a signature.
func (s *matches) whole(l *List, signature ID) bool {
	if signature == 0 {
		return true
	}
	for i := range s.n {
		if s.signature[i] == signature {
			return s.count[i] >= l.signatures[signature]
		}
	}
	return false
}
