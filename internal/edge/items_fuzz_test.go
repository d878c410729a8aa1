package edge

import (
	"reflect"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/replica"
	"rosedale.dev/rosedale/platform"
)

// validTarget is a valid registration of a target.
const validTarget = `{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"sequence":1}`

// FuzzItemAmongGoodOnes checks that an arbitrary value under a target's or a balancer's
// key does not change the meaning of valid entries.
func FuzzItemAmongGoodOnes(f *testing.F) {
	// All inputs share one logger, as its goroutine only ends with the process.
	c := newTestControl(f)
	f.Add("servers/i-9", []byte(validTarget))
	f.Add("servers/i-9", []byte(`{"service":"s","slots":"many"}`))
	f.Add("servers/", []byte("x"))
	f.Add("op/evacuate/b", []byte("{}"))
	f.Add("op/evacuate/", []byte("{}"))
	f.Add("op/evacuate/a/b", []byte("x"))
	f.Add("rosedale/vm/x", []byte{0xa0})
	f.Add("rosedale/vm/x", []byte("\xa1\x01\x61x"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if id, err := platform.ParseTargetID(key); err == nil && (id == 1 || id == 2) {
			t.Skip("an entry of the valid targets")
		}
		if name, err := platform.ParseEvacuation(key); err == nil && name == "a" {
			t.Skip("the data centre of the valid targets is evacuated")
		}
		if _, err := platform.ParseTarget(key, value); err == nil {
			t.Skip("a valid entry of another target, which may use the same cookie")
		}
		good := []replica.Item{
			{Key: "servers/i-1", Value: []byte(validTarget), Revision: 1},
			{Key: "servers/i-2", Value: []byte(validTarget), Revision: 2},
		}
		without := targetsAfter(c, good)
		bad := replica.Item{Key: key, Value: value, Revision: 3}
		with := targetsAfter(c, []replica.Item{good[0], bad, good[1]})
		for id, x := range without {
			if !reflect.DeepEqual(with[id], x) {
				t.Errorf("with %q at %q target %s is %+v, without it %+v", value, key, id, with[id], x)
			}
		}
	})
}

// targetsAfter returns the state of the valid targets after the items were applied.
func targetsAfter(c *control, items []replica.Item) map[string]direct.TargetInfo {
	c.replica = replica.New(func(string, []byte, []byte) bool { return true })
	c.edge.forward = direct.New(direct.Config{DataCenter: "a", FlowMaxAge: time.Minute, MaxFlows: 10})
	c.apply(items, "test")
	out := map[string]direct.TargetInfo{}
	for _, x := range c.edge.forward.Targets(0) {
		if x.ID == "1" || x.ID == "2" {
			x.Silence = 0
			out[x.ID] = x
		}
	}
	return out
}
