package admission

// speeds are admissions by priority.
type speeds [Priorities]float64

// distribute raises each priority's admissions to what it can expect of total. A priority that
// has just asked for little gets what more urgent ones and lesserShare leave, because less
// urgent ones give way to it. None expects less than lesserShare.
func (s *speeds) distribute(total float64) {
	const least = 1.0 / lesserShare
	urgent := 0.0
	for p, own := range s {
		s[p] = max(own, total*(1-least)-urgent, total*least)
		urgent += own
	}
}
