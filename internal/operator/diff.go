package operator

import (
	"strings"

	"rosedale.dev/rosedale/internal/catalogue"
)

// Diff returns the lines that differ between two entries: those only in a with
// prefix -, those only in b with prefix +. Either may be nil.
func Diff(a, b *catalogue.Service) string {
	linesA, linesB := lines(a), lines(b)
	var out strings.Builder
	i, j := 0, 0
	for _, k := range commonLines(linesA, linesB) {
		for ; i < k[0]; i++ {
			out.WriteString("- " + linesA[i] + "\n")
		}
		for ; j < k[1]; j++ {
			out.WriteString("+ " + linesB[j] + "\n")
		}
		i, j = k[0]+1, k[1]+1
	}
	for ; i < len(linesA); i++ {
		out.WriteString("- " + linesA[i] + "\n")
	}
	for ; j < len(linesB); j++ {
		out.WriteString("+ " + linesB[j] + "\n")
	}
	return out.String()
}

// lines returns the lines of an entry's text without its edit ID, which always differs.
func lines(s *catalogue.Service) []string {
	if s == nil {
		return nil
	}
	c := *s
	c.EditID = ""
	text, err := catalogue.Encode(&c)
	if err != nil {
		return nil
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// commonLines returns the index pairs of a longest common subsequence of lines.
func commonLines(a, b []string) [][2]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	var out [][2]int
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch {
		case a[i] == b[j]:
			out = append(out, [2]int{i, j})
			i, j = i+1, j+1
		case lengths[i+1][j] >= lengths[i][j+1]:
			i++
		default:
			j++
		}
	}
	return out
}
