//! The forms in which an engine answers: whole or streamed, completion or
//! chat.

use super::sequence::word;

/// Form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    Completion,
    Chat,
}

/// What an answer is about.
#[derive(Clone, Debug)]
pub(super) struct AnswerHead {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) form: Form,
    pub(super) fingerprint: u32,
    pub(super) prompt_tokens: u32,
}

impl AnswerHead {
    /// One event of a stream with a token; `last` names the finish reason.
    pub(super) fn event(&self, position: u32, last: bool) -> String {
        let finish = if last { "\"length\"" } else { "null" };
        let text = word(self.fingerprint, position);
        let (id, model) = (&self.id, &self.model);
        match self.form {
            Form::Completion => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"created\":0,\"model\":\"{model}\",\"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish}}}]}}\n\n"
            ),
            Form::Chat => format!(
                "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":{finish}}}]}}\n\n"
            ),
        }
    }

    /// A whole answer with so many tokens.
    pub(super) fn whole(&self, tokens: u32) -> serde_json::Value {
        let text: String = (0..tokens).map(|position| word(self.fingerprint, position)).collect();
        let (object, choice) = match self.form {
            Form::Completion => {
                ("text_completion", serde_json::json!({ "index": 0, "text": text, "finish_reason": "length" }))
            }
            Form::Chat => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": "length",
                }),
            ),
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": self.prompt_tokens + tokens,
            },
        })
    }
}
