package direct

import "time"

// Times takes times that packets and checks show.
type Times interface {
	// Opened takes the time from an opening to the caller's next packet.
	Opened(time.Duration)
	// Answered takes the time from a request to the first acknowledgement of
	// its answer.
	Answered(time.Duration)
	// Detected takes the time from a dead target's last sign of life to its
	// discovery.
	Detected(time.Duration)
}

// noTimes discards times.
type noTimes struct{}

func (noTimes) Opened(time.Duration)   {}
func (noTimes) Answered(time.Duration) {}
func (noTimes) Detected(time.Duration) {}
