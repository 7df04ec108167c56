//! Codec of the messages about units of quotas.

use super::generated_gossip::{QuotaGrant, QuotaRequest, QuotaReturn};
use crate::decide::quota::{Answer, Ask, Return};
use crate::world::time;
use crate::world::unit::Incarnation;

pub(crate) fn encode_ask(ask: &Ask) -> QuotaRequest {
    QuotaRequest {
        workspace: ask.workspace.to_string(),
        number: ask.number,
        needs: ask.needs.clone(),
        ahead: ask.ahead,
    }
}

pub(crate) fn decode_ask(request: &QuotaRequest) -> Ask {
    Ask {
        workspace: request.workspace.as_str().into(),
        number: request.number,
        needs: request.needs.clone(),
        ahead: request.ahead,
    }
}

pub(crate) fn encode_answer(answer: &Answer, incarnation: Incarnation) -> QuotaGrant {
    let (unmet, wait) = answer.unmet.unwrap_or_default();
    QuotaGrant {
        workspace: answer.workspace.to_string(),
        incarnation: incarnation.0,
        number: answer.number,
        units: answer.units,
        unmet,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    }
}

pub(crate) fn decode_answer(grant: &QuotaGrant) -> Answer {
    let unmet = (grant.unmet, time::from_millis(grant.wait_ms));
    Answer {
        workspace: grant.workspace.as_str().into(),
        number: grant.number,
        units: grant.units,
        unmet: (grant.unmet > 0).then_some(unmet),
    }
}

pub(crate) fn encode_return(returned: &Return) -> QuotaReturn {
    QuotaReturn {
        workspace: returned.workspace.to_string(),
        number: returned.number,
        total: returned.total,
    }
}

pub(crate) fn decode_return(returned: &QuotaReturn) -> Return {
    Return {
        workspace: returned.workspace.as_str().into(),
        number: returned.number,
        total: returned.total,
    }
}
