//! The gRPC service that routers and other schedulers call.

use std::{pin::Pin, sync::Arc};

use futures_lite::{Stream, StreamExt};
use portfield::{schedule::Event, wire, wire::scheduler_server};
use tonic::{Request, Response, Status, Streaming};

use crate::shell::Shell;

/// Answers calls out of the shell's state.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    shell: Arc<Shell>,
}

impl Server {
    pub(crate) fn new(shell: Arc<Shell>) -> Self {
        Self { shell }
    }
}

type Frames = Pin<Box<dyn Stream<Item = Result<wire::OwnerFrame, Status>> + Send>>;

#[tonic::async_trait]
impl scheduler_server::Scheduler for Server {
    type SessionStream = Frames;

    async fn session(
        &self,
        request: Request<Streaming<wire::RouterFrame>>,
    ) -> Result<Response<Frames>, Status> {
        let mut frames = request.into_inner();
        let first = frames.message().await?.ok_or(Status::invalid_argument("no first frame"))?;
        let host = first.host.parse().map_err(|_| Status::invalid_argument("host"))?;
        let (sender, receiver) = async_channel::unbounded();
        let shell = self.shell.clone();
        let number = shell.open(host, sender);
        self.shell.rt.spawn(async move {
            while let Ok(Some(frame)) = frames.message().await {
                shell.hear(host, number, frame);
            }
            shell.close(host, number);
        });
        Ok(Response::new(Box::pin(receiver.map(Ok))))
    }

    async fn probe(
        &self,
        request: Request<wire::ProbeRequest>,
    ) -> Result<Response<wire::ProbeReply>, Status> {
        let request = request.into_inner();
        let mut alive = true;
        if let Ok(target) = request.target.parse() {
            alive = self.shell.probe_for(target).await;
        }
        self.shell.feed(Event::ProbeRequest(request.clone()));
        let reply = self.shell.read(|it| it.probe_reply(&request));
        Ok(Response::new(wire::ProbeReply { alive, ..reply }))
    }

    async fn exchange(
        &self,
        request: Request<wire::PeerFrame>,
    ) -> Result<Response<wire::PeerReply>, Status> {
        let frame = request.into_inner();
        let reply = self.shell.read(|it| it.peer_reply(&frame));
        self.shell.feed(Event::PeerFrame(frame));
        Ok(Response::new(reply))
    }

    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::FetchReply>, Status> {
        let fleet = self.shell.read(|it| it.fleet().clone());
        let mut res = wire::FetchReply { revision: fleet.revision, ..Default::default() };
        if request.into_inner().above < fleet.revision {
            res.fleet =
                serde_json::to_string(&*fleet).map_err(|err| Status::internal(err.to_string()))?;
        }
        Ok(Response::new(res))
    }
}
