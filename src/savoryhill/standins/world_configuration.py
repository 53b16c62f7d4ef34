"""Configuration of the deployment that `savoryhill.standins.world` simulates."""

from savoryhill.config import model

SERVICE = "orders"


def order_configuration():
    """Build a configuration with one service and one journal shard."""
    return model.Configuration(
        revision=1,
        zones=(model.Zone(name="zone-a", region="south"),),
        endpoints=(
            model.Endpoint(
                id="orders-0",
                address="127.0.0.1:1",
                zone="zone-a",
                group="orders/south/0",
                hardware="application",
            ),
        ),
        groups=(
            model.Group(
                id="orders/south/0",
                target=SERVICE,
                region="south",
                endpoints=("orders-0",),
            ),
        ),
        services=(
            model.Service(
                name=SERVICE,
                calls=(
                    model.ServiceCall(
                        method="POST",
                        path="/call/order",
                        idempotent=False,
                        kind="order",
                        lookup_path="/lookup",
                    ),
                ),
            ),
        ),
        journal=model.JournalSettings(n_shards=1),
    )
