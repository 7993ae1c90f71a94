#include "currantpost/base/bounded_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

namespace currantpost {
namespace {

class BoundedOutputTest : public testing::Test {
 protected:
  BoundedOutputTest() {
    if (pipe(ends_.data()) != 0) ADD_FAILURE() << "no pipe";
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }

  ~BoundedOutputTest() override {
    for (const int end : ends_) close(end);
  }

  /// Sets the pipe to its minimum size of one page. Once it holds any data, poll reports it as
  /// full.
  void MakeSmall() { fcntl(ends_[1], F_SETPIPE_SZ, 4'096); }

  std::string ReadAll() {
    std::string text;
    std::array<char, 65'536> buffer{};

    while (true) {
      const ssize_t size = read(ends_[0], buffer.data(), buffer.size());
      if (size <= 0) return text;
      text.append(buffer.data(), static_cast<size_t>(size));
    }
  }

  std::array<int, 2> ends_{};
};

TEST_F(BoundedOutputTest, WritesLinesInOrder) {
  BoundedOutput output(ends_[1], 1'000);
  output.Write("one\n");
  output.Write("two\n");

  EXPECT_EQ(ReadAll(), "one\ntwo\n");
  EXPECT_EQ(output.dropped(), 0U);
}

// A blocking write to the full pipe would hang here.
TEST_F(BoundedOutputTest, DropsAndReportsLinesInsteadOfBlockingOnAFullPipe) {
  MakeSmall();
  BoundedOutput output(ends_[1], 10'000);
  const std::string line(99, 'x');
  for (int number = 0; number < 1'000; ++number) output.Write(line + "\n");

  EXPECT_GT(output.dropped(), 800U);
  EXPECT_LT(output.dropped(), 900U);

  std::string text = ReadAll();
  for (int round = 0; round < 8; ++round) {
    output.Write("more\n");
    text += ReadAll();
  }

  EXPECT_NE(text.find("log lines dropped because the reader was too slow lines="),
            std::string::npos);
  EXPECT_EQ(text.substr(text.size() - 5), "more\n");
  // Every line that was not dropped is complete.
  EXPECT_EQ(text.find("x\nmore"), std::string::npos);
  EXPECT_EQ(text.substr(0, 100), line + "\n");
}

TEST_F(BoundedOutputTest, BufferStaysBoundedAfterTheReaderIsClosed) {
  close(ends_[0]);
  ends_[0] = open("/dev/null", O_RDONLY);
  signal(SIGPIPE, SIG_IGN);
  BoundedOutput output(ends_[1], 1'000);
  for (int number = 0; number < 100; ++number) output.Write(std::string(99, 'x') + "\n");

  EXPECT_EQ(output.dropped(), 90U);
}

}  // namespace
}  // namespace currantpost
