package grupstream

import (
	"net/http"
	"strings"
)

// brokenHeadError reports that the head of a response was broken off and that of another one
// followed, so that they read as one.
type brokenHeadError struct{}

// Error implements error.
func (*brokenHeadError) Error() string { return "the head of a response within the head of another" }

// checkHead returns an error if the head contains the status line of another response. Between
// two lines it would not have been accepted, so it can only stand within one.
func checkHead(response *http.Response) error {
	if containsStatusLine(response.Status) {
		return &brokenHeadError{}
	}
	for _, values := range response.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return &brokenHeadError{}
			}
		}
	}
	return nil
}

// statusLineForm is the form of the beginning of a status line; 0 stands for any digit.
const statusLineForm = "HTTP/0.0 000"

// containsStatusLine reports whether a status line begins anywhere in the text.
func containsStatusLine(text string) bool {
	const name = "HTTP/"
	for {
		at := strings.Index(text, name)
		if at < 0 {
			return false
		}
		if text = text[at:]; hasForm(text, statusLineForm) {
			return true
		}
		text = text[len(name):]
	}
}

// hasForm reports whether the text begins in the given form.
func hasForm(text, form string) bool {
	if len(text) < len(form) {
		return false
	}
	for i := range len(form) {
		isDigit := text[i] >= '0' && text[i] <= '9'
		if form[i] == '0' && !isDigit || form[i] != '0' && text[i] != form[i] {
			return false
		}
	}
	return true
}
