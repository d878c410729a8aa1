package direct

// Answer classifies how a request ended, judging by the caller's packets alone.
type Answer uint8

// The outcomes of a request.
const (
	AnswerGood  Answer = iota
	AnswerSlow         // later than slowFactor times the baseline
	AnswerShort        // a fraction of the baseline's bytes, as error responses have
	AnswerNone         // nothing was acknowledged
	answerCount
)

var answerNames = [answerCount]string{"good", "slow", "short", "none"}

// String returns the name used in counters.
func (a Answer) String() string { return answerNames[a] }

// Answers returns all outcomes of a request.
func Answers() []Answer { return enumValues(answerCount) }

// weight returns how much of a bad request the answer counts as. A slow answer counts half:
// the request was served, and the load already makes slow targets less likely to be chosen.
func (a Answer) weight() float64 {
	switch a {
	case AnswerGood:
		return 0
	case AnswerSlow:
		return 0.5
	}
	return 1
}
