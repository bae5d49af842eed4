package drjson

// Closest returns the candidate with the smallest edit distance to name. It
// returns "" if every candidate differs by more than two bytes and by more than
// a third of the name's length. Of equally close candidates it returns the
// first.
func Closest(name string, candidates []string) string {
	bestDistance, closest := max(2, len(name)/3)+1, ""
	for _, candidate := range candidates {
		if abs(len(candidate)-len(name)) >= bestDistance {
			continue
		}
		if candidateDistance := editDistance(name, candidate); candidateDistance < bestDistance {
			bestDistance, closest = candidateDistance, candidate
		}
	}
	return closest
}

func abs(n int) int { return max(n, -n) }

// editDistance returns the Levenshtein distance of a and b, counted in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
