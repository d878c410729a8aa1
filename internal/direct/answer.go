package direct

// Answer says how a request ended, as far as the caller's packets show.
type Answer uint8

// The ends of requests.
const (
	AnswerGood  Answer = iota
	AnswerSlow         // several times later than usual
	AnswerShort        // with a fraction of the usual bytes, as errors are
	AnswerNone         // nothing was acknowledged
	answers
)

var answerNames = [answers]string{"good", "slow", "short", "none"}

// String returns the name in counters.
func (a Answer) String() string { return answerNames[a] }

// Answers returns all ends of requests.
func Answers() []Answer { return all(answers) }

// weight is how much of a bad request it is. A slow answer is still an answer,
// and slow targets also look busy.
func (a Answer) weight() float64 {
	switch a {
	case AnswerGood:
		return 0
	case AnswerSlow:
		return 0.5
	}
	return 1
}
