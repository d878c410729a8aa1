package caller

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/standin/netstack"
)

// callerCount is the number of callers' addresses that one process uses. They are the
// source addresses of the packets inside its Geneve datagrams.
const callerCount = 50

type options struct {
	fabric   string
	bind     string
	streams  []spec
	requests []spec
	duration time.Duration
	gap      time.Duration
	out      string
	targets  string
	block    int
	chatter  bool
}

// Main runs the load that the flags describe and writes its Result as JSON.
func Main(ctx context.Context, args []string) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	l := &load{opt: o, rec: newRecorder()}
	if err := l.connect(ctx); err != nil {
		return err
	}
	runCtx, cancel := context.WithTimeout(ctx, o.duration)
	defer cancel()
	l.run(runCtx)
	runs, err := fetchExecutions(o.targets)
	if err != nil {
		return err
	}
	return writeResult(o.out, l.rec.finish(runs))
}

func parseOptions(args []string) (options, error) {
	var o options
	var streams, requests string
	fs := flag.NewFlagSet("caller", flag.ContinueOnError)
	fs.StringVar(&o.fabric, "fabric", "127.0.9.1:6082", "address at which the fabric receives callers' packets")
	fs.StringVar(&o.bind, "bind", "127.0.9.10:6081", "own outer UDP address")
	fs.StringVar(&streams, "streams", "", "comma-separated SERVICE=ADDRESS=COUNT")
	fs.StringVar(&requests, "requests", "", "comma-separated SERVICE=ADDRESS=RATE=WORK_MS, rate in requests per second")
	fs.DurationVar(&o.duration, "duration", 10*time.Second, "length of the run")
	fs.DurationVar(&o.gap, "gap", 200*time.Millisecond, "time between a stream's frames")
	fs.StringVar(&o.out, "out", "-", "file for the result, - for standard output")
	fs.StringVar(&o.targets, "targets", "", "comma-separated control addresses of the targets")
	fs.IntVar(&o.block, "block", 0, "index of the block of inner addresses, different for each process")
	fs.BoolVar(&o.chatter, "chatter", false, "callers send a line on each of their streams every second")
	if err := fs.Parse(args); err != nil {
		return o, err
	}
	var err error
	if o.streams, err = parseSpecs(streams, 3); err != nil {
		return o, err
	}
	o.requests, err = parseSpecs(requests, 4)
	return o, err
}

// load is the state of one run.
type load struct {
	opt   options
	rec   *recorder
	net   *netstack.Net
	addrs []netip.Addr
}

// connect opens the socket to the fabric and the TCP stack on top of it.
func (l *load) connect(ctx context.Context) error {
	ua, err := net.ResolveUDPAddr("udp", l.opt.bind)
	if err != nil {
		return errors.Wrap(err, "caller: bind address")
	}
	fa, err := net.ResolveUDPAddr("udp", l.opt.fabric)
	if err != nil {
		return errors.Wrap(err, "caller: fabric address")
	}
	c, err := net.ListenUDP("udp", ua)
	if err != nil {
		return errors.Wrap(err, "caller: listen")
	}
	_ = c.SetReadBuffer(4 << 20)
	for i := range callerCount {
		n := l.opt.block*callerCount + i + 1
		l.addrs = append(l.addrs, netip.AddrFrom4([4]byte{198, 51, byte(100 + n>>8), byte(n)}))
	}
	l.net, err = netstack.New(ctx, l.addrs, func(b []byte) {
		_, _ = c.WriteToUDP(geneve.Append(nil, 0, nil, b), fa)
	})
	if err != nil {
		return err
	}
	go l.receive(c)
	go func() { <-ctx.Done(); _ = c.Close() }()
	return nil
}

func (l *load) receive(c *net.UDPConn) {
	b := make([]byte, 1<<16)
	for {
		n, _, err := c.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if d, err := geneve.Parse(b[:n]); err == nil {
			l.net.Inject(d.Inner)
		}
	}
}

// run generates the load until ctx ends and waits for the requests in flight.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range l.opt.streams {
		for i := range s.count {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.runStream(ctx, s, i)
			}()
		}
	}
	for _, s := range l.opt.requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.sendRequests(ctx, s)
		}()
	}
	wg.Wait()
}

// executionsTimeout bounds a query for the executions at one target process. The
// process answers it from memory.
const executionsTimeout = 5 * time.Second

// fetchExecutions returns the runs of each request at the targets, by request
// identifier. targets are the comma-separated addresses of their control endpoints.
//
// Without the timeout, a target process that hangs would keep the run from ending,
// and the result would be lost.
func fetchExecutions(targets string) (map[string][]string, error) {
	all := map[string][]string{}
	client := &http.Client{Timeout: executionsTimeout}
	for _, t := range strings.Split(targets, ",") {
		if t == "" {
			continue
		}
		resp, err := client.Get("http://" + t + "/executions")
		if err != nil {
			return nil, errors.Wrapf(err, "caller: executions of %s", t)
		}
		var m map[string][]string
		err = json.NewDecoder(resp.Body).Decode(&m)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "caller: executions of %s", t)
		}
		for id, runs := range m {
			all[id] = append(all[id], runs...)
		}
	}
	return all, nil
}

func writeResult(path string, res Result) error {
	b, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return err
	}
	b = append(b, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(b)
		return err
	}
	return os.WriteFile(path, b, 0o644)
}
