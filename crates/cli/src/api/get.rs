//! `lapismast get KIND [NAME]`: resources, and the fleet's processes, orders and leases.

use super::table::Table;
use super::{output, output_arg};
use admin::Client;
use admin::api::{Lease, Member, Order, Resource};
use clap::{Arg, ArgMatches, Command};
use conf::Kind;
use eyre::{Result, eyre};
use serde::Serialize;

/// The subcommand's arguments.
pub(crate) fn command() -> Command {
    Command::new("get")
        .about("Shows resources with their status, or the fleet, its orders and leases")
        .arg(Arg::new("kind").value_name("KIND").required(true).help(
            "Model, Adapter, Version, Target, Caller, Policy or all; or fleet, orders, leases",
        ))
        .arg(Arg::new("name").value_name("NAME").help("Only this resource"))
        .arg(output_arg())
}

/// Reads the requested items and prints them.
pub(crate) async fn run(client: &Client, matches: &ArgMatches) -> Result<()> {
    let kind: &String = matches.get_one("kind").ok_or_else(|| eyre!("no kind"))?;
    let format = output(matches);
    match (kind.as_str(), matches.get_one::<String>("name")) {
        ("fleet", None) => show(format, &client.fleet().await?.members, members),
        ("orders", None) => show(format, &client.orders().await?, orders),
        ("leases", None) => show(format, &client.leases().await?, leases),
        ("all", None) => show_resources(format, &client.list(None).await?),
        (kind, None) => show_resources(format, &client.list(Some(Kind::from_name(kind)?)).await?),
        (kind, Some(name)) => {
            show_resources(format, &[client.get(Kind::from_name(kind)?, name).await?])
        }
    }
}

fn show<T: Serialize>(format: &str, items: &[T], table: impl Fn(&[T]) -> Table) -> Result<()> {
    match format {
        "json" => println!("{}", serde_json::to_string_pretty(items)?),
        "yaml" => print!("{}", serde_yaml_ng::to_string(items)?),
        _ => print!("{}", table(items)),
    }
    Ok(())
}

/// Prints resources; as YAML in the form that `apply` reads, with their status as a comment.
fn show_resources(format: &str, resources: &[Resource]) -> Result<()> {
    if format != "yaml" {
        return show(format, resources, table);
    }
    for resource in resources {
        let Resource { kind, name, spec, generation, author, .. } = resource;
        println!("---\n# generation {generation} by {author}");
        for condition in &resource.status.conditions {
            let met = if condition.met { "yes" } else { "no" };
            println!("# {}: {met} {}", condition.name, condition.reason);
        }
        let resource = conf::Resource { kind: *kind, name: name.clone(), spec: spec.clone() };
        print!("{}", serde_yaml_ng::to_string(&resource)?);
    }
    Ok(())
}

fn table(resources: &[Resource]) -> Table {
    let mut table = Table::new(&["RESOURCE", "GENERATION", "BY", "IN FORCE", "READY", "WHY NOT"]);
    for resource in resources {
        let met = |name: &str| {
            let found = resource.status.conditions.iter().find(|c| c.name == name);
            found.map_or(("?", String::new()), |c| {
                (if c.met { "yes" } else { "no" }, c.reason.clone())
            })
        };
        let (ready, reason) = met("ready");
        table.add(vec![
            format!("{}/{}", resource.kind.name(), resource.name),
            resource.generation.to_string(),
            resource.author.to_string(),
            met("in-force").0.to_owned(),
            ready.to_owned(),
            reason,
        ]);
    }
    table
}

fn members(members: &[Member]) -> Table {
    let mut table =
        Table::new(&["PROCESS", "CONFIG", "HEARD", "ACCEPTING", "ROLE", "RUNNING", "WAITING"]);
    let number = |number: Option<u64>| number.map_or("-".to_owned(), |n| n.to_string());
    for member in members {
        table.add(vec![
            format!("{} {}", member.kind, member.name),
            number(member.config_offset),
            member.age_ms.map_or("never".to_owned(), |age| format!("{age} ms ago")),
            if member.accepting { "yes" } else { "-" }.to_owned(),
            member.role.to_string(),
            member.running.to_string(),
            member.waiting.to_string(),
        ]);
    }
    table
}

fn orders(orders: &[Order]) -> Table {
    let mut table = Table::new(&["ORDER", "TARGET", "WHAT", "BY", "OUTCOME"]);
    for order in orders {
        let Order { offset, target, what, author, outcome } = order;
        let row = [&offset.to_string(), target.as_str(), what, author, outcome];
        table.add(row.map(str::to_owned).to_vec());
    }
    table
}

fn leases(leases: &[Lease]) -> Table {
    let mut table = Table::new(&["SCOPE", "HOLDER", "CLAIM", "LAST", "LEASE"]);
    for lease in leases {
        table.add(vec![
            lease.scope.to_string(),
            lease.holder.to_string(),
            lease.claim.to_string(),
            lease.last.to_string(),
            format!("{} ms", lease.lease_ms),
        ]);
    }
    table
}
