package drjson

// maxNestingDepth is the largest number of nested arrays and objects in a
// document. The parser recurses once per level, and a document of four million
// levels overflowed the goroutine stack.
const maxNestingDepth = 100

// findTooDeep returns the offset of the first bracket that opens more than
// maxNestingDepth levels, or -1 if there is none. It ignores brackets in strings
// and comments.
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

// skipComment returns the offset of the last byte of the comment that starts at
// offset, or offset itself if none does. The newline counts as the last byte of
// a line comment. If the comment does not end, the result is len(src) or more.
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
