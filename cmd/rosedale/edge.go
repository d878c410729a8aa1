package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rosedale.dev/rosedale/internal/edge"
	"rosedale.dev/rosedale/internal/operator"
	"rosedale.dev/rosedale/internal/revision"
)

// edge is the group of commands for rosedale-edge balancers, whose targets answer callers
// directly.
func (a *app) edge() *ffcli.Command {
	return &ffcli.Command{
		Name: "edge", ShortUsage: "rosedale edge <command>",
		ShortHelp:   "Inspect balancers whose targets answer callers directly.",
		Subcommands: []*ffcli.Command{a.edgeStatus(), a.edgeTargets(), a.edgeEvacuations(), a.edgeExplain()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

const adminsUsage = "admin addresses of the balancers, separated by commas"

func parseAdmins(list string) (operator.Edges, error) {
	if list == "" {
		return operator.Edges{}, usage("-admins is needed")
	}
	return operator.Edges{Admins: strings.Split(list, ",")}, nil
}

func (a *app) edgeStatus() *ffcli.Command {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	admins := fs.String("admins", "", adminsUsage)
	return &ffcli.Command{
		Name: "status", ShortUsage: "rosedale edge status -admins A,B", FlagSet: fs,
		ShortHelp: "Show the catalogue version in force and the replica's age at each balancer.",
		Exec: func(ctx context.Context, _ []string) error {
			edges, err := parseAdmins(*admins)
			if err != nil {
				return err
			}
			all := edges.Status(ctx)
			t := newTable("VM", "DATA CENTRE", "READY", "READS", "VERSION", "POSITION", "AGE", "STORE", "FLOWS", "PEERS", "ERROR")
			for _, s := range all {
				if s.Status == nil {
					t.row(s.Admin, "", "", "", "", "", "", "", "", "", s.Error)
					continue
				}
				x := s.Status
				t.row(x.VM, x.DataCenter, x.Ready, x.Reading, x.Version, revision.Revision{Era: x.Era, Number: x.Position}, replicaAge(x), storeState(x.StoreLost), x.Flows, len(x.Peers), "")
			}
			return a.print(t, all)
		},
	}
}

// replicaAge returns the text for the greatest possible age of a balancer's replica.
func replicaAge(s *edge.Status) string {
	if s.Position == 0 {
		return "no copy"
	}
	return s.Age.Round(time.Millisecond).String()
}

func storeState(lost bool) string {
	if lost {
		return "lost"
	}
	return "ok"
}

func (a *app) edgeTargets() *ffcli.Command {
	fs := flag.NewFlagSet("targets", flag.ContinueOnError)
	admins := fs.String("admins", "", adminsUsage)
	differ := fs.Bool("differ", false, "only targets whose state differs between the balancers")
	return &ffcli.Command{
		Name: "targets", ShortUsage: "rosedale edge targets -admins A,B [-differ]", FlagSet: fs,
		ShortHelp: "Show the state of each target at each balancer.",
		Exec: func(ctx context.Context, _ []string) error {
			edges, err := parseAdmins(*admins)
			if err != nil {
				return err
			}
			all := edges.Status(ctx)
			if *differ {
				return a.printDifferences(operator.Differences(all))
			}
			t := newTable("TARGET", "SERVICE", "DATA CENTRE", "ADDRESS", "VM", "STATE", "FLOWS", "BUSY", "LOAD", "SILENCE", "REPEATS", "FINDING", "GOOD", "BAD", "PEERS' BAD")
			for _, s := range all {
				if s.Status == nil {
					continue
				}
				for _, x := range s.Status.Targets {
					t.row(x.ID, x.Service, x.DataCenter, x.Address, s.Status.VM, x.State, x.Flows, x.Busy,
						fmt.Sprintf("%.2f", x.Load), x.Silence.Round(time.Millisecond), x.Repeats, x.Finding,
						fmt.Sprintf("%.1f", x.Good), fmt.Sprintf("%.1f", x.Bad), fmt.Sprintf("%.1f", x.PeerBad))
				}
			}
			return a.print(t, all)
		},
	}
}

func (a *app) edgeEvacuations() *ffcli.Command {
	fs := flag.NewFlagSet("evacuations", flag.ContinueOnError)
	admins := fs.String("admins", "", adminsUsage)
	return &ffcli.Command{
		Name: "evacuations", ShortUsage: "rosedale edge evacuations -admins A,B", FlagSet: fs,
		ShortHelp: "Show evacuated data centres, which get no new flows, and their remaining flows.",
		Exec: func(ctx context.Context, _ []string) error {
			edges, err := parseAdmins(*admins)
			if err != nil {
				return err
			}
			all := edges.Status(ctx)
			t := newTable("EVACUATED", "VM", "REVISION", "KNOWN FOR", "FLOWS", "BUSY", "ERROR")
			for _, s := range all {
				if s.Status == nil {
					t.row("", s.Admin, "", "", "", "", s.Error)
					continue
				}
				for _, x := range s.Status.Evacuated {
					t.row(x.DataCenter, s.Status.VM, revision.Revision{Era: x.Era, Number: x.Revision}, x.Since.Round(time.Millisecond), x.Flows, x.Busy, "")
				}
			}
			return a.print(t, all)
		},
	}
}

func (a *app) printDifferences(list []operator.Difference) error {
	t := newTable("TARGET", "VM", "STATE")
	for _, d := range list {
		for vm, s := range d.States {
			t.row(d.Target, vm, s)
		}
	}
	return a.print(t, list)
}

func (a *app) edgeExplain() *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	admins := fs.String("admins", "", adminsUsage)
	caller := fs.String("caller", "", "caller's address and port")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "rosedale edge explain -admins A,B -caller A:P ADDRESS", FlagSet: fs,
		ShortHelp: "Show what each balancer would do with a flow's packets.",
		Exec: withOneArg("service address", func(ctx context.Context, addr string) error {
			edges, err := parseAdmins(*admins)
			if err != nil {
				return err
			}
			from, err := netip.ParseAddrPort(*caller)
			if err != nil {
				return usage("-caller: %v", err)
			}
			to, err := netip.ParseAddrPort(addr)
			if err != nil {
				return usage("service address: %v", err)
			}
			all := edges.Explain(ctx, from, to)
			t := newTable("ADMIN", "ROUTE", "VERSION", "KNOWN", "TARGET", "STATE", "OUTCOME", "ERROR")
			for _, x := range all {
				if x.Explanation == nil {
					t.row(x.Admin, "", "", "", "", "", "", x.Error)
					continue
				}
				e := x.Explanation
				t.row(x.Admin, e.Route, e.Version, e.Known, e.Target, e.State, e.Outcome, "")
			}
			return a.print(t, all)
		}),
	}
}
