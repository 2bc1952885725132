//! Data centres that are to get nothing, as the operator ordered.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{Source, StoreVersion};

/// Time for which an order is kept that is missing from the store's copy, after the store went back.
///
/// The operator writes again what the store has lost, within some seconds; until then the order stands. One that was
/// taken back in what was lost ends with this time at the latest.
pub const ORDER_GRACE: Duration = Duration::from_secs(5);

/// Orders taken back that are remembered against a store that goes back: an operator gives a few a day.
const MAX_LIFTED: usize = 64;

/// An order as it is read, or the news that it was taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the data centre.
    pub data_centre: String,
    /// Version of its row.
    pub row: u64,
    /// It was taken back.
    pub is_lifted: bool,
}

/// An order that came into force, or no longer is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderChange {
    /// Name of the data centre.
    pub data_centre: String,
    /// It was taken back, or did not come back after the store had lost it.
    pub is_lifted: bool,
}

/// An order in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Standing {
    /// Version of its row.
    row: u64,
    /// When it ends, where the store has lost it.
    until: Option<Duration>,
}

impl Standing {
    fn is_late(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}

/// The orders in force, as of a version of the store.
///
/// # Examples
///
/// ```
/// use portfield::catalog::{Evacuations, Order, Source};
///
/// let order = |is_lifted| Order { data_centre: "north".into(), row: 7, is_lifted };
/// let mut it = Evacuations::default();
/// it.apply(7, [order(false)]);
/// assert!(it.covers("north") && !it.covers("south"));
/// it.apply(9, [order(true)]);
/// assert!(!it.covers("north"));
/// ```
#[derive(Debug, Default)]
pub struct Evacuations {
    version: StoreVersion,
    orders: BTreeMap<String, Standing>,
    /// Orders taken back, with the last version of their rows.
    lifted: VecDeque<(String, u64)>,
}

/// The orders as one host tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderList {
    /// Those in force, each with the time that it is still kept where the store has lost it.
    pub standing: Vec<(Order, Option<Duration>)>,
    /// Those taken back that are remembered.
    pub lifted: Vec<Order>,
}

impl Evacuations {
    /// Returns the version that last told a change; zero while there never was an order.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns whether a data centre is to get nothing.
    pub fn covers(&self, data_centre: &str) -> bool {
        self.orders.contains_key(data_centre)
    }

    /// Returns the data centres that are to get nothing.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        self.orders.keys().map(String::as_str)
    }

    /// Applies changes up to a version of the store; an older version changes nothing.
    pub fn apply(
        &mut self,
        version: impl Into<StoreVersion>,
        orders: impl IntoIterator<Item = Order>,
    ) -> Vec<OrderChange> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        let mut orders = orders.into_iter().peekable();
        if orders.peek().is_some() {
            self.version = version;
        }
        orders.filter_map(|it| self.change(it)).collect()
    }

    /// Takes all orders as of a version of the store; an older version changes nothing.
    ///
    /// From a store that went back (`Source::AfterOutage`), an order that is missing is kept for [`ORDER_GRACE`], and
    /// one that is known to be taken back stays so: its row has the version that it had before.
    pub fn replace(
        &mut self,
        version: impl Into<StoreVersion>,
        orders: impl IntoIterator<Item = Order>,
        source: Source,
    ) -> Vec<OrderChange> {
        let version = version.into();
        if version < self.version {
            return Vec::new();
        }
        let mut orders: Vec<Order> = orders.into_iter().collect();
        if let Source::AfterOutage { .. } = source {
            orders.retain(|it| !self.is_past(it));
        }
        if !orders.is_empty() || !self.orders.is_empty() {
            self.version = version;
        }
        let is_missing = |it: &&String| !orders.iter().any(|order| order.data_centre == **it);
        let missing: Vec<String> = self.orders.keys().filter(is_missing).cloned().collect();
        let mut res: Vec<OrderChange> =
            missing.into_iter().filter_map(|it| self.miss(it, source)).collect();
        res.extend(orders.into_iter().filter_map(|it| self.change(it)));
        res
    }

    /// Takes another host's orders, as of a later version; an older one changes nothing.
    pub fn learn(
        &mut self,
        now: Duration,
        version: StoreVersion,
        list: OrderList,
    ) -> Vec<OrderChange> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        let mut res = Vec::new();
        let told = |name: &String| list.standing.iter().any(|it| it.0.data_centre == *name);
        let over: Vec<String> = self.orders.keys().filter(|it| !told(it)).cloned().collect();
        res.extend(over.into_iter().filter_map(|it| self.lift(it)));
        for (order, left) in list.standing {
            let name = order.data_centre.clone();
            res.extend(self.change(order));
            if let (Some(left), Some(it)) = (left, self.orders.get_mut(&name)) {
                it.until = Some(now + left);
            }
        }
        list.lifted.into_iter().for_each(|it| self.remember(it.data_centre, it.row));
        res
    }

    /// Returns the orders as they are told to another host.
    pub fn list(&self, now: Duration) -> OrderList {
        let order = |name: &String, row: u64, is_lifted: bool| Order {
            data_centre: name.clone(),
            row,
            is_lifted,
        };
        let left = |it: &Standing| it.until.map(|until| until.saturating_sub(now));
        let standing = self.orders.iter().map(|(name, it)| (order(name, it.row, false), left(it)));
        let lifted = self.lifted.iter().map(|(name, row)| order(name, *row, true));
        OrderList { standing: standing.collect(), lifted: lifted.collect() }
    }

    /// Returns whether an order did not come back in time.
    pub fn has_late(&self, now: Duration) -> bool {
        self.orders.values().any(|it| it.is_late(now))
    }

    /// Ends the orders that did not come back in time.
    pub fn expire(&mut self, now: Duration) -> Vec<OrderChange> {
        let late = self.orders.iter().filter(|it| it.1.is_late(now));
        let late: Vec<String> = late.map(|it| it.0.clone()).collect();
        late.into_iter().filter_map(|it| self.lift(it)).collect()
    }

    fn change(&mut self, order: Order) -> Option<OrderChange> {
        let Order { data_centre, row, is_lifted } = order;
        if is_lifted {
            return self.lift(data_centre);
        }
        let standing = Standing { row, until: None };
        let before = self.orders.insert(data_centre.clone(), standing);
        before.is_none().then_some(OrderChange { data_centre, is_lifted: false })
    }

    /// Notes that an order is missing from the store.
    fn miss(&mut self, data_centre: String, source: Source) -> Option<OrderChange> {
        let Source::AfterOutage { returned } = source else { return self.lift(data_centre) };
        let it = self.orders.get_mut(&data_centre)?;
        it.until.get_or_insert(returned + ORDER_GRACE);
        None
    }

    fn lift(&mut self, data_centre: String) -> Option<OrderChange> {
        let it = self.orders.remove(&data_centre)?;
        self.remember(data_centre.clone(), it.row);
        Some(OrderChange { data_centre, is_lifted: true })
    }

    fn remember(&mut self, data_centre: String, row: u64) {
        let past = (data_centre, row);
        if self.lifted.contains(&past) {
            return;
        }
        self.lifted.push_back(past);
        if MAX_LIFTED < self.lifted.len() {
            self.lifted.pop_front();
        }
    }

    /// Returns whether a copy of the store tells an order that is known to be taken back.
    fn is_past(&self, order: &Order) -> bool {
        self.lifted.iter().any(|(name, row)| *name == order.data_centre && *row == order.row)
    }
}
