"""Invalid input to the Python operators' library is rejected with field, value and limit."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "python"))

from bamboochute_operator import Configuration, ConfigurationInvalid, gibibytes, sha256


def sample():
    configuration = Configuration()
    configuration.allow("ana", sha256("ana's credential"))
    deployment = configuration.deployment("assistant")
    deployment.model("chat@1", memory=gibibytes(20), most=2)
    for i in range(2):
        deployment.engine(
            f"worker-{i}",
            pool="workers",
            at=("127.0.0.1", 9000 + i),
            data_centre="north",
            memory=gibibytes(80),
        )
    return configuration, deployment


class InvalidInput(unittest.TestCase):
    def assert_rejected(self, field, words, action):
        with self.assertRaises(ConfigurationInvalid) as caught:
            action()
        self.assertEqual(caught.exception.field, field)
        for word in words:
            self.assertIn(word, str(caught.exception))

    def test_a_value_is_validated_when_it_is_added(self):
        _, deployment = sample()
        path = "deployments[0].models[1]"
        self.assert_rejected(
            f"{path}.memoryBytes",
            ['"20GB"', "17592186044416"],
            lambda: deployment.model("a@1", memory="20GB"),
        )
        self.assert_rejected(
            f"{path}.memoryBytes", ["0", "1 to"], lambda: deployment.model("a@1", memory=0)
        )
        self.assert_rejected(f"{path}.id", ['"a b"'], lambda: deployment.model("a b", memory=1))
        self.assert_rejected(
            f"{path}.id",
            ['"chat@1"', "deployments[0].models[0].id"],
            lambda: deployment.model("chat@1", memory=1),
        )

    def test_the_whole_configuration_is_validated_when_it_is_printed(self):
        configuration, deployment = sample()
        deployment.adapter("quito", base="gone@1", memory=1)
        self.assert_rejected("deployments[0].adapters[0].base", ['"gone@1"'], configuration.to_json)
        configuration, deployment = sample()
        deployment.model("a@1", memory=gibibytes(1), least=2, most=1)
        self.assert_rejected(
            "deployments[0].models[1].minReplicas", ["2", "1"], configuration.to_json
        )
        configuration, deployment = sample()
        deployment.model("a@1", memory=gibibytes(1), most=3)
        self.assert_rejected(
            "deployments[0].models[1].maxReplicas", ["3", "at most 2"], configuration.to_json
        )

    def test_an_error_never_contains_a_credential(self):
        configuration, _ = sample()
        with self.assertRaises(ConfigurationInvalid) as caught:
            configuration.allow("berta", "hunter2")
        self.assertNotIn("hunter2", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
