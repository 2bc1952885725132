//! gRPC service for routers and other schedulers.

use std::{pin::Pin, sync::Arc};

use futures_lite::{Stream, StreamExt};
use portfield::{schedule::Event, wire, wire::scheduler_server};
use tonic::{Request, Response, Status, Streaming};

use crate::app::App;

/// Server that passes calls to the scheduler process.
#[derive(Debug, Clone)]
pub(crate) struct GrpcServer {
    app: Arc<App>,
}

impl GrpcServer {
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app }
    }
}

type FrameStream = Pin<Box<dyn Stream<Item = Result<wire::OwnerFrame, Status>> + Send>>;

#[tonic::async_trait]
impl scheduler_server::Scheduler for GrpcServer {
    type SessionStream = FrameStream;

    async fn session(
        &self,
        request: Request<Streaming<wire::RouterFrame>>,
    ) -> Result<Response<FrameStream>, Status> {
        let mut frames = request.into_inner();
        let first = frames.message().await?.ok_or(Status::invalid_argument("no first frame"))?;
        let host = first.host.parse().map_err(|_| Status::invalid_argument("host"))?;
        let (sender, receiver) = async_channel::unbounded();
        let app = self.app.clone();
        let number = app.open_session(host, sender);
        self.app.rt.spawn(async move {
            while let Ok(Some(frame)) = frames.message().await {
                app.handle_frame(host, number, frame);
            }
            app.close_session(host, number);
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
            alive = self.app.probe_target(target).await;
        }
        self.app.handle_event(Event::ProbeRequest(request.clone()));
        let reply = self.app.read(|it| it.probe_reply(&request));
        Ok(Response::new(wire::ProbeReply { alive, ..reply }))
    }

    async fn exchange(
        &self,
        request: Request<wire::PeerFrame>,
    ) -> Result<Response<wire::PeerReply>, Status> {
        let frame = request.into_inner();
        let reply = self.app.read(|it| it.peer_reply(&frame));
        self.app.handle_event(Event::PeerFrame(frame));
        Ok(Response::new(reply))
    }

    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::FetchReply>, Status> {
        let fleet = self.app.read(|it| it.fleet().clone());
        let mut res = wire::FetchReply { revision: fleet.revision, ..Default::default() };
        if request.into_inner().above < fleet.revision {
            res.fleet =
                serde_json::to_string(&*fleet).map_err(|err| Status::internal(err.to_string()))?;
        }
        Ok(Response::new(res))
    }
}
