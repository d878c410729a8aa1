package admission

// lesserShare: every eighth admission from the queue goes to the longest-waiting request that
// is less urgent than the most urgent one waiting, so that no priority is starved.
const lesserShare = 8

// turn counts the admissions of the most urgent priority while less urgent requests wait.
type turn int

// isLesser reports whether the next admission is that of a less urgent request.
func (t turn) isLesser() bool { return t >= lesserShare-1 }

// count counts an admission while less urgent requests can be admitted.
func (t *turn) count(lesser bool) {
	if lesser {
		*t = 0
	} else {
		*t++
	}
}
