package control

import (
	"context"
	"time"
)

// Status is the state of a balancer for operators.
type Status struct {
	Name       string          `json:"name"`
	DataCenter string          `json:"dataCenter"`
	State      string          `json:"state"`
	Ready      bool            `json:"ready"`
	Reader     bool            `json:"reader"`
	Flows      int             `json:"flows"`
	Catalogue  CatalogueStatus `json:"catalogue"`
	Members    []MemberStatus  `json:"members"`
}

// CatalogueStatus lists the versions in force.
type CatalogueStatus struct {
	Index    uint64            `json:"index"`
	Digest   uint64            `json:"digest"`
	Versions map[string]uint64 `json:"versions"`
	HeldBack []string          `json:"heldBack,omitempty"`
	AgeMS    int64             `json:"ageMs"` // milliseconds since the last change
}

// MemberStatus is a member's state according to this balancer.
type MemberStatus struct {
	Name        string `json:"name"`
	DataCenter  string `json:"dataCenter"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Admin       string `json:"admin"`
}

// Status returns the current state.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	var s Status
	err := l.Do(ctx, func(now time.Duration) {
		self := l.group.Self()
		s = Status{
			Name:       self.Name,
			DataCenter: self.DataCenter,
			State:      self.Status.String(),
			Ready:      l.isReady(now),
			Reader:     l.reader != nil,
			Flows:      l.router.Flows(),
		}
		s.Catalogue = l.catalogueStatus(now)
		for _, r := range l.group.Members() {
			if r.Incarnation == 0 {
				continue
			}
			s.Members = append(s.Members, MemberStatus{r.Name, r.DataCenter, r.Status.String(), r.Incarnation, r.Admin.String()})
		}
	})
	return s, err
}

func (l *Loop) catalogueStatus(now time.Duration) CatalogueStatus {
	v := l.catalogueState.Versions()
	c := CatalogueStatus{
		Index:    v.High(),
		Digest:   v.Digest(),
		Versions: map[string]uint64{},
		HeldBack: l.heldBack,
		AgeMS:    (now - l.catalogueChangedAt).Milliseconds(),
	}
	for _, x := range v.All() {
		if !x.Deleted() {
			c.Versions[x.Name] = x.Index
		}
	}
	return c
}
