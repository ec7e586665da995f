package batch

import (
	"encoding/json"
	"strings"
	"unicode/utf8"

	"pumiceford/apierr"
)

// Item is one line of a batch file, in the format of the OpenAI batch API.
type Item struct {
	CustomID  string
	Model     string
	Prompt    string
	MaxTokens uint32
}

// Limits of one item.
const (
	MaxItemBytes     = 256 << 10
	MaxTokensLimit   = 32768
	defaultMaxTokens = 64
	MaxCustomIDBytes = 256
)

type inputLine struct {
	CustomID string   `json:"custom_id"`
	Method   string   `json:"method"`
	URL      string   `json:"url"`
	Body     itemBody `json:"body"`
}

type itemBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens uint32        `json:"max_tokens"`
	// MaxCompletionTokens is the newer API name of MaxTokens. It applies if
	// MaxTokens is 0.
	MaxCompletionTokens uint32 `json:"max_completion_tokens"`
}

// ChatMessage is one message of a chat request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt joins the messages of a chat into the prompt for an engine, one
// message per line with its role first.
func ChatPrompt(messages []ChatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// ParseItem parses and checks one line of a batch file. Every error is an
// apierr.Error with CodeBadRequest or CodeTooLarge.
func ParseItem(line []byte) (Item, error) {
	if len(line) > MaxItemBytes {
		return Item{}, apierr.New(apierr.CodeTooLarge, "item is over %d bytes", MaxItemBytes)
	}
	if !utf8.Valid(line) {
		return Item{}, apierr.New(apierr.CodeBadRequest, "item is not UTF-8")
	}
	var l inputLine
	if err := json.Unmarshal(line, &l); err != nil {
		return Item{}, apierr.New(apierr.CodeBadRequest, "item is not JSON: %v", err)
	}
	item := Item{CustomID: l.CustomID, Model: l.Body.Model, Prompt: l.Body.Prompt, MaxTokens: l.Body.MaxTokens}
	if len(l.Body.Messages) > 0 {
		item.Prompt = ChatPrompt(l.Body.Messages)
	}
	if item.MaxTokens == 0 {
		item.MaxTokens = l.Body.MaxCompletionTokens
	}
	if item.MaxTokens == 0 {
		item.MaxTokens = defaultMaxTokens
	}
	return item, item.check()
}

func (i Item) check() error {
	switch {
	case i.CustomID == "" || len(i.CustomID) > MaxCustomIDBytes:
		return apierr.New(apierr.CodeBadRequest, "custom_id must have 1 to %d bytes", MaxCustomIDBytes)
	case i.Model == "":
		return apierr.New(apierr.CodeBadRequest, "body.model is missing")
	case i.Prompt == "":
		return apierr.New(apierr.CodeBadRequest, "body.prompt or body.messages is missing")
	case i.MaxTokens > MaxTokensLimit:
		return apierr.New(apierr.CodeBadRequest, "max_tokens is over %d", MaxTokensLimit)
	}
	return nil
}
