package drjson

// maxNestingDepth bounds the nesting of a document. The parser recurses once per
// level, and four million levels overflowed the goroutine stack.
const maxNestingDepth = 100

// findTooDeep returns the offset at which src nests more than maxDepth levels,
// or -1. Brackets in strings and comments do not count.
func findTooDeep(src []byte) int {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '[', '{':
			if depth++; depth > maxNestingDepth {
				return i
			}
		case ']', '}':
			depth--
		case '"':
			for i++; i < len(src) && src[i] != '"'; i++ {
				if src[i] == '\\' {
					i++
				}
			}
		case '/':
			i = skipComment(src, i)
		}
	}
	return -1
}

// skipComment returns the offset of the last byte of the comment at i, or i
// if there is none.
func skipComment(src []byte, offset int) int {
	if offset+1 == len(src) {
		return offset
	}
	switch src[offset+1] {
	case '/':
		for offset < len(src) && src[offset] != '\n' {
			offset++
		}
	case '*':
		for offset += 3; offset < len(src) && (src[offset-1] != '*' || src[offset] != '/'); {
			offset++
		}
	}
	return offset
}
