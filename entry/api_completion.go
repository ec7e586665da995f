package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"pumiceford/engine/enginehttp"
	"pumiceford/httpx"
	"pumiceford/wire"
)

// completionWriter writes completions in the format of the OpenAI API.
type completionWriter struct {
	c            *app.RequestContext
	chat         bool
	model        string
	id           string
	includeUsage bool
	sse          *sse.Writer // nil until the first event of a stream is written
}

type completionReply struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *enginehttp.Usage  `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (w *completionWriter) object(stream bool) string {
	switch {
	case w.chat && stream:
		return "chat.completion.chunk"
	case w.chat:
		return "chat.completion"
	}
	return "text_completion"
}

func (w *completionWriter) newReply(stream bool, choices ...completionChoice) completionReply {
	if choices == nil {
		choices = []completionChoice{}
	}
	return completionReply{
		ID:      "cmpl-" + w.id,
		Object:  w.object(stream),
		Created: time.Now().Unix(),
		Model:   w.model,
		Choices: choices,
	}
}

func newUsage(end *wire.End, tokens uint32) *enginehttp.Usage {
	return &enginehttp.Usage{
		PromptTokens:     end.GetPromptTokens(),
		CompletionTokens: tokens,
		TotalTokens:      end.GetPromptTokens() + tokens,
	}
}

func (e *Entry) completeBuffered(ctx context.Context, req *Request, w *completionWriter) error {
	var text strings.Builder
	var tokens uint32
	end, err := e.Do(ctx, req, func(p *wire.Piece) error {
		text.Write(p.GetText())
		tokens += p.GetTokens()
		return nil
	})
	if err != nil {
		return err
	}
	finish := end.GetFinishReason()
	choice := completionChoice{FinishReason: &finish}
	content := text.String()
	if w.chat {
		choice.Message = &chatMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	reply := w.newReply(false, choice)
	reply.Usage = newUsage(end, tokens)
	httpx.WriteJSON(w.c, 200, reply)
	return nil
}

func (e *Entry) completeStream(ctx context.Context, req *Request, w *completionWriter) error {
	var tokens uint32
	end, err := e.Do(ctx, req, func(p *wire.Piece) error {
		tokens += p.GetTokens()
		return w.writePiece(string(p.GetText()))
	})
	if err != nil && w.sse == nil {
		return err
	}
	if err != nil {
		// The status line has been sent. An error event without a following [DONE] marks
		// the response as incomplete.
		_, body := newErrorBody(err)
		_ = w.writeEvent(body)
		return nil
	}
	w.writeEnd(end, tokens)
	return nil
}

func (w *completionWriter) writePiece(text string) error {
	choice := completionChoice{}
	if w.chat {
		choice.Delta = &chatMessage{Content: text}
		if w.sse == nil {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	return w.writeEvent(w.newReply(true, choice))
}

func (w *completionWriter) writeEnd(end *wire.End, tokens uint32) {
	finish := end.GetFinishReason()
	choice := completionChoice{FinishReason: &finish}
	empty := ""
	if w.chat {
		choice.Delta = &chatMessage{}
	} else {
		choice.Text = &empty
	}
	// Write errors are ignored: a caller that has disconnected by now has already received
	// the complete text.
	_ = w.writeEvent(w.newReply(true, choice))
	if w.includeUsage {
		last := w.newReply(true)
		last.Usage = newUsage(end, tokens)
		_ = w.writeEvent(last)
	}
	_ = w.sse.WriteEvent("", "", []byte("[DONE]"))
}

func (w *completionWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if w.sse == nil {
		w.sse = sse.NewWriter(w.c)
	}
	return w.sse.WriteEvent("", "", data)
}
