package main

import (
	"context"
	"flag"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rosedale.dev/rosedale/internal/catalogue"
)

// changes holds the edits given by flags. Zero slots or connections and a negative weight
// mean no change.
type changes struct {
	slots, connections int
	weight             float64
	states             stringList
	add, remove        stringList
}

// stringList is the value of a repeatable flag.
type stringList []string

func (m *stringList) String() string     { return strings.Join(*m, ",") }
func (m *stringList) Set(s string) error { *m = append(*m, s); return nil }

func (a *app) edit() *ffcli.Command {
	var c changes
	fs := flag.NewFlagSet("edit", flag.ContinueOnError)
	fs.IntVar(&c.slots, "slots", 0, "slots of each target; 0 means no change")
	fs.IntVar(&c.connections, "connections", 0, "connections of each target; 0 means no change")
	fs.Float64Var(&c.weight, "broken-flow-weight", -1, "weight of broken flows against imbalance, 0 to 1; negative means no change")
	fs.Var(&c.states, "target-state", "ADDRESS=active or ADDRESS=draining; may be repeated")
	fs.Var(&c.add, "add-target", "ADDRESS=DATA_CENTER; may be repeated")
	fs.Var(&c.remove, "remove-target", "ADDRESS; may be repeated")
	return &ffcli.Command{
		Name: "edit", ShortUsage: "rosedale catalogue edit [flags] NAME", FlagSet: fs,
		ShortHelp: "Change fields of an entry in one compare-and-swap.",
		Exec: withOneArg("name", func(ctx context.Context, name string) error {
			e, err := a.entries().Get(ctx, name)
			if err != nil {
				return err
			}
			if err := c.apply(e.Service); err != nil {
				return err
			}
			return a.write(ctx, e.Service, e.Index)
		}),
	}
}

func (c *changes) apply(s *catalogue.Service) error {
	if c.slots > 0 {
		s.Limits.Slots = c.slots
	}
	if c.connections > 0 {
		s.Limits.Connections = c.connections
	}
	if c.weight >= 0 {
		s.BrokenFlowWeight = c.weight
	}
	for _, f := range []struct {
		list stringList
		do   func(*catalogue.Service, netip.Addr, string) error
	}{{c.add, addTarget}, {c.states, setState}, {c.remove, removeTarget}} {
		for _, x := range f.list {
			text, value, _ := strings.Cut(x, "=")
			addr, err := netip.ParseAddr(text)
			if err != nil {
				return usage("%q is not an address", text)
			}
			if err := f.do(s, addr, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func findTarget(s *catalogue.Service, a netip.Addr) int {
	for i, t := range s.Targets {
		if t.Address == a {
			return i
		}
	}
	return -1
}

func addTarget(s *catalogue.Service, a netip.Addr, dc string) error {
	if findTarget(s, a) >= 0 {
		return usage("%s is already a target of %s", a, s.Name)
	}
	s.Targets = append(s.Targets, catalogue.Target{Address: a, DataCenter: dc, State: catalogue.Active})
	return nil
}

func setState(s *catalogue.Service, a netip.Addr, state string) error {
	i := findTarget(s, a)
	if i < 0 {
		return usage("%s is not a target of %s", a, s.Name)
	}
	s.Targets[i].State = catalogue.TargetState(state)
	return nil
}

func removeTarget(s *catalogue.Service, a netip.Addr, _ string) error {
	i := findTarget(s, a)
	if i < 0 {
		return usage("%s is not a target of %s", a, s.Name)
	}
	s.Targets = append(s.Targets[:i], s.Targets[i+1:]...)
	return nil
}

func (a *app) drain() *ffcli.Command {
	fs := flag.NewFlagSet("drain", flag.ContinueOnError)
	undo := fs.Bool("undo", false, "make the target active again")
	return &ffcli.Command{
		Name: "drain", ShortUsage: "rosedale drain [-undo] TARGET", FlagSet: fs,
		ShortHelp: "Stop new flows to a target in every service; open ones continue.",
		Exec: withOneArg("target address", func(ctx context.Context, text string) error {
			addr, err := netip.ParseAddr(text)
			if err != nil {
				return usage("%q is not an address", text)
			}
			state := catalogue.Draining
			if *undo {
				state = catalogue.Active
			}
			return a.drainTarget(ctx, addr, state)
		}),
	}
}

func (a *app) drainTarget(ctx context.Context, addr netip.Addr, state catalogue.TargetState) error {
	stored, _, err := a.entries().List(ctx)
	if err != nil {
		return err
	}
	found := false
	for _, e := range stored {
		if findTarget(e.Service, addr) < 0 {
			continue
		}
		found = true
		if err := setState(e.Service, addr, string(state)); err != nil {
			return err
		}
		if err := a.write(ctx, e.Service, e.Index); err != nil {
			return err
		}
	}
	if !found {
		return usage("no service has the target %s", addr)
	}
	return nil
}
