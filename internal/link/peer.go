package link

// queueLength is the maximum number of messages that wait for one peer.
const queueLength = 32

// peer is the queue of messages to one member. It exists while a connection to that
// member is open or being opened.
type peer struct {
	out chan []byte
}

func newPeer() *peer { return &peer{make(chan []byte, queueLength)} }

// push queues b, or returns false if the queue is full.
func (p *peer) push(b []byte) bool {
	select {
	case p.out <- b:
		return true
	default:
		return false
	}
}
