package drjson

// maxDepth bounds the nesting of a document. The parser recurses once per
// level, and four million levels overflowed the goroutine stack.
const maxDepth = 100

// tooDeep returns the offset at which src nests more than maxDepth levels,
// or -1. Brackets in strings and comments do not count.
func tooDeep(src []byte) int {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '[', '{':
			if depth++; depth > maxDepth {
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
func skipComment(src []byte, i int) int {
	if i+1 == len(src) {
		return i
	}
	switch src[i+1] {
	case '/':
		for i < len(src) && src[i] != '\n' {
			i++
		}
	case '*':
		for i += 3; i < len(src) && (src[i-1] != '*' || src[i] != '/'); {
			i++
		}
	}
	return i
}
