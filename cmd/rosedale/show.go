package main

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rosedale.dev/rosedale/internal/router"
)

func (a *app) status() *ffcli.Command {
	return &ffcli.Command{
		Name: "status", ShortUsage: "rosedale status", ShortHelp: "Show every balancer and the catalogue it has in force.",
		Exec: func(ctx context.Context, _ []string) error {
			vms, err := a.fleet().Status(ctx)
			if err != nil {
				return err
			}
			t := newTable("VM", "DATA CENTRE", "STATE", "READY", "READER", "FLOWS", "INDEX", "DIGEST", "ERROR")
			for _, v := range vms {
				if v.Status == nil {
					t.row(v.Name, "", v.State, "", "", "", "", "", v.Error)
					continue
				}
				s := v.Status
				t.row(v.Name, s.DataCenter, s.State, s.Ready, s.Reader, s.Flows, s.Catalogue.Index,
					strconv.FormatUint(s.Catalogue.Digest, 16), v.Error)
			}
			return a.print(t, vms)
		},
	}
}

func (a *app) flows() *ffcli.Command {
	fs := flag.NewFlagSet("flows", flag.ContinueOnError)
	target := fs.String("target", "", "only flows of this target")
	state := fs.String("state", "", "only flows in this state")
	limit := fs.Int("limit", 100, "maximum number of flows")
	return &ffcli.Command{
		Name: "flows", ShortUsage: "rosedale flows [-target A] [-state S] [-limit N]", FlagSet: fs,
		ShortHelp: "Show flows that one balancer knows.",
		Exec: func(ctx context.Context, _ []string) error {
			q := url.Values{"target": {*target}, "state": {*state}, "limit": {strconv.Itoa(*limit)}}
			var list []router.FlowInfo
			if err := a.fleet().Get(ctx, a.admin, "/flows", q, &list); err != nil {
				return err
			}
			t := newTable("CALLER", "ADDRESS", "TARGET", "STATE", "HOME", "IDLE MS", "ANSWERS")
			for _, f := range list {
				t.row(f.Caller, f.Address, f.Target, f.State, f.Home, f.IdleMS, f.Answers)
			}
			return a.print(t, list)
		},
	}
}

func (a *app) explain() *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	caller := fs.String("caller", "", "caller's address and port")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "rosedale explain [-caller A:P] ADDRESS", FlagSet: fs,
		ShortHelp: "Show which target a new flow would get, and why.",
		Exec: withOneArg("service address", func(ctx context.Context, addr string) error {
			x, err := a.explainAtHome(ctx, url.Values{"address": {addr}, "caller": {*caller}})
			if err != nil {
				return err
			}
			t := newTable("TARGET", "DATA CENTRE", "ELIGIBLE", "CANDIDATE", "LOAD", "LIMIT", "NOTE")
			for _, g := range x.Targets {
				t.row(g.Target, g.DataCenter, g.Eligible, g.Candidate, fmt.Sprintf("%.1f", g.Load), g.Limit, g.Note)
			}
			if a.output != "json" {
				fmt.Printf("service %s, class %s, home %s, waiting %d\nchoice %s: %s\n",
					x.Service, x.Class, x.Home, x.Waiting, x.Choice, x.Why)
			}
			return a.print(t, x)
		}),
	}
}

// explainAtHome queries the flow's home, whose load counts determine the choice.
func (a *app) explainAtHome(ctx context.Context, q url.Values) (router.Explanation, error) {
	var x router.Explanation
	if err := a.fleet().Get(ctx, a.admin, "/explain", q, &x); err != nil || x.IsHome {
		return x, err
	}
	vms, err := a.fleet().Status(ctx)
	if err != nil {
		return x, err
	}
	for _, v := range vms {
		if v.Name == x.Home {
			err = a.fleet().Get(ctx, v.Admin, "/explain", q, &x)
		}
	}
	return x, err
}
