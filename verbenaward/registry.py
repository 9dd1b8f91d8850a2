"""Registries that decorators fill: behaviour is found by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class UnknownNameError(LookupError):
    """No item is registered under a name."""


class Registry(Generic[Item]):
    """Items by name.

    Attributes:
      kind: What the items are, for error messages.
      items: The registered items.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that registers its argument under a name."""

        def decorate(item: Item) -> Item:
            self.items[name] = item
            return item

        return decorate

    def find(self, name: str) -> Item:
        """Return the item of a name.

        Raises:
          UnknownNameError: Nothing is registered under the name.
        """
        if name not in self.items:
            known = ", ".join(sorted(self.items))
            raise UnknownNameError(f"unknown {self.kind} {name!r}; known: {known}")
        return self.items[name]
