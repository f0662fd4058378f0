//! The commands on resources: publish and delete.

use crate::record::{Body, Change};
use crate::{Appended, Appender, Config, Error, Result, rules};
use conf::{Generation, Kind, Name, Resource};
use plat::Offset;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Publishes resources in the names of operators.
#[derive(Clone)]
pub struct Registry {
    appender: Appender,
    config: watch::Receiver<Arc<Config>>,
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// The change's offset; it is in effect in each process that has applied this record.
    pub offset: Offset,
    /// The resource's new generation.
    pub generation: Generation,
}

/// The longest wait until an appended change is read back; after it the outcome is unsettled.
const READ_BACK: Duration = Duration::from_secs(10);

impl Registry {
    /// Makes a registry from an appender and the state of the `config` stream.
    pub fn new(appender: Appender, config: watch::Receiver<Arc<Config>>) -> Self {
        Self { appender, config }
    }

    /// Publishes a resource; `expects` is the generation that the operator has read, 0 for a new
    /// resource, `None` for any.
    ///
    /// An invalid resource is refused before it is appended. Success means that the change was
    /// read back from the log and was accepted there, which is final.
    pub async fn apply(
        &self,
        operator: &str,
        resource: &Resource,
        expects: Option<Generation>,
    ) -> Result<Accepted> {
        let spec = resource.check()?;
        rules::check(&self.config.borrow(), &resource.name, &spec)?;
        let change = Change {
            kind: resource.kind.name().to_owned(),
            name: resource.name.to_string(),
            spec: Some(resource.spec.to_string()),
            expects,
        };
        self.publish(operator, change).await
    }

    /// Deletes a resource; `expects` as in [`Registry::apply`].
    pub async fn delete(
        &self,
        operator: &str,
        kind: Kind,
        name: &Name,
        expects: Option<Generation>,
    ) -> Result<Accepted> {
        rules::check_unused(&self.config.borrow(), kind, name)?;
        let (kind, name) = (kind.name().to_owned(), name.to_string());
        self.publish(operator, Change { kind, name, spec: None, expects }).await
    }

    async fn publish(&self, operator: &str, change: Change) -> Result<Accepted> {
        let body = Body::Change(change);
        let appended = self.appender.append_as(operator, plat::CONFIG_STREAM, body).await?;
        let unsettled = |detail: &'static str| Error::Unsettled {
            stream: plat::CONFIG_STREAM.into(),
            id: appended.id,
            detail: detail.into(),
        };
        let mut config = self.config.clone();
        let applied = config.wait_for(|config| config.end() > appended.offset);
        let config = match tokio::time::timeout(READ_BACK, applied).await {
            Ok(Ok(config)) => config.clone(),
            Ok(Err(_)) => return Err(unsettled("the process stops")),
            Err(_) => return Err(unsettled("the log cannot be read back")),
        };
        outcome(&config, appended).unwrap_or_else(|| Err(unsettled("its outcome is forgotten")))
    }
}

fn outcome(config: &Config, appended: Appended) -> Option<Result<Accepted>> {
    let audit = config.outcome(appended.offset)?;
    Some(match &audit.outcome {
        Ok(generation) => Ok(Accepted { offset: audit.offset, generation: *generation }),
        Err(refusal) => Err(refusal.clone().into()),
    })
}
