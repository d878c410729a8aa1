package direct

// Answer classifies how a request ended, as far as the caller's packets show it.
type Answer uint8

// The outcomes of a request.
const (
	AnswerGood  Answer = iota
	AnswerSlow         // later than slowFactor times the baseline
	AnswerShort        // a fraction of the baseline's bytes, as error responses have
	AnswerNone         // the caller acknowledged no data of an answer
	answerCount
)

var answerNames = [answerCount]string{"good", "slow", "short", "none"}

// String returns the name used in counters.
func (a Answer) String() string { return answerNames[a] }

// Answers returns all outcomes of a request.
func Answers() []Answer { return enumValues(answerCount) }

// weight returns the fraction of a bad request that the answer counts as. A slow answer counts
// half: the request was served, and the load already makes slow targets less likely to be
// chosen.
func (a Answer) weight() float64 {
	switch a {
	case AnswerGood:
		return 0
	case AnswerSlow:
		return 0.5
	}
	return 1
}
